/** Backend servers and price list of the cloud API stand-in. */
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
  /** Comma-separated services that run as plain services; all others run as model engines. */
  readonly plainServices: string;
  /** Folder for one ledger file per backend server; without it, no files are written. */
  readonly ledgerFolder?: string;
}

const LOAD_LAG_MS = 500;
const CACHE_EVENT_DELAY_MS = 500;
const LOAD_VERSION_MS = 1_000;
const SERVICE_TIME_MS = 5;
const BASE_PRICE_USD_PER_HOUR = 1;
const DOMAIN_PRICE_STEP = 0.1;
const ON_DEMAND_FACTOR = 3;

/** Returns a function that starts a backend server in this process; engines start cold. */
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

/** Returns an unused path: each process numbers its runs from 1, so appending to an earlier file would repeat run numbers. */
function getFreeLedgerPath(folder: string, instanceId: string): string {
  let startNumber = 1;
  const getPath = () => join(folder, `${instanceId}.${startNumber}.ledger`);
  while (existsSync(getPath())) startNumber += 1;
  return getPath();
}

/**
 * Returns a price for each failure domain, machine class and market.
 * @param failureDomains - Comma-separated; each costs more than the one before it.
 * @param machineClasses - Comma-separated, smallest first.
 */
export function createPriceList(failureDomains: string, machineClasses: string): readonly Price[] {
  return failureDomains.split(',').flatMap((failureDomain, domainIndex) =>
    machineClasses.split(',').flatMap((machineClass, classIndex) => {
      const reclaimablePrice =
        BASE_PRICE_USD_PER_HOUR * (classIndex + 1) * (1 + DOMAIN_PRICE_STEP * domainIndex);
      const offer = {failureDomain, machineClass};
      return [
        {...offer, market: 'reclaimable' as const, priceUsdPerHour: reclaimablePrice},
        {
          ...offer,
          market: 'on-demand' as const,
          priceUsdPerHour: reclaimablePrice * ON_DEMAND_FACTOR,
        },
      ];
    }),
  );
}
