/** Backend servers that the stand-in of the cloud API starts, and its prices. */
import {existsSync} from 'node:fs';
import {join} from 'node:path';
import {createSeededRandom} from '../../src/utils/index.js';
import {DEFAULT_ENGINE_PROFILE, ModelEngine} from '../engine/index.js';
import {PlainService} from '../plain/index.js';
import type {Price, StartedBackend, StartRequest} from '../platform/index.js';

/** Options of the backend servers that the cloud API starts. */
export interface StartedBackendOptions {
  readonly address: string;
  readonly seed: number;
  readonly timeScale: number;
  /** Services that are plain ones, separated by commas. */
  readonly plainServices: string;
  /** Folder that gets a ledger of each backend server; absent for none. */
  readonly ledgerFolder?: string;
}

const LOAD_LAG_MS = 500;
const CACHE_EVENT_DELAY_MS = 500;
const LOAD_VERSION_MS = 1_000;
const SERVICE_TIME_MS = 5;
const BASE_PRICE_USD_PER_HOUR = 1;
const DOMAIN_PRICE_STEP = 0.1;
const ON_DEMAND_FACTOR = 3;

/** Returns a function that runs a backend server within this process, cold at its start. */
export function createStartBackend(options: StartedBackendOptions) {
  const {address, seed, timeScale, plainServices, ledgerFolder} = options;
  return async (
    instanceId: string,
    start: StartRequest,
    listUrl: string,
  ): Promise<StartedBackend> => {
    const common = {
      address,
      port: 0,
      listUrl,
      identity: {...start, instanceId},
      random: createSeededRandom(seed),
      ledgerPath: ledgerFolder && getFreeLedgerPath(ledgerFolder, instanceId),
      onDown: () => undefined,
    };
    const backend = plainServices.split(',').includes(start.service)
      ? new PlainService({...common, serviceTimeMs: SERVICE_TIME_MS})
      : new ModelEngine({
          ...common,
          profile: {...DEFAULT_ENGINE_PROFILE, timeScale},
          isColdAtStart: true,
          honoursFencingTokens: true,
          loadLagMs: LOAD_LAG_MS,
          cacheEventDelayMs: CACHE_EVENT_DELAY_MS,
          loadVersionMs: LOAD_VERSION_MS,
        });
    await backend.start();
    return {port: backend.getPort(), stop: () => backend.stop()};
  };
}

/** A ledger that another process began under the same name is left as it is, since run numbers start anew. */
function getFreeLedgerPath(folder: string, instanceId: string): string {
  let startNumber = 1;
  const getPath = () => join(folder, `${instanceId}.${startNumber}.ledger`);
  while (existsSync(getPath())) startNumber += 1;
  return getPath();
}

/** Returns a price for each failure domain, machine class and market. */
export function createPrices(failureDomains: string, machineClasses: string): readonly Price[] {
  return failureDomains.split(',').flatMap((failureDomain, domainIndex) =>
    machineClasses.split(',').flatMap((machineClass, classIndex) => {
      const reclaimablePrice =
        BASE_PRICE_USD_PER_HOUR * (classIndex + 1) * (1 + DOMAIN_PRICE_STEP * domainIndex);
      const place = {failureDomain, machineClass};
      return [
        {...place, market: 'reclaimable' as const, priceUsdPerHour: reclaimablePrice},
        {
          ...place,
          market: 'on-demand' as const,
          priceUsdPerHour: reclaimablePrice * ON_DEMAND_FACTOR,
        },
      ];
    }),
  );
}
