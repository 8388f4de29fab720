/** Creates the servers of the placement simulation and of the measurement of decisions. */
import type {KnownServer} from '../../src/catalog/index.js';

/** Service of all servers. */
export const SERVICE = 'chat';
const SLOTS = 12;

/** Returns an engine that accepts requests and isn't cold. */
export function createEngineServer(id: string): KnownServer {
  return {
    entry: {
      id,
      service: SERVICE,
      address: '127.0.0.1:1',
      failureDomain: 'a',
      softwareVersion: 'v1',
      slots: SLOTS,
      isDraining: false,
      isReclaimable: false,
      coldMs: 0,
      startedAtMs: 1,
    },
    firstSeenAtMs: 0,
    changedAtMs: 0,
    coldUntilMs: 0,
    expiredAtMs: undefined,
  };
}
