/** Who a backend server is, and its entry in the instance list. */
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';

/** What the instance list says of a backend server. */
export interface BackendIdentity {
  readonly instanceId: string;
  readonly service: string;
  readonly version: string;
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly market: 'reclaimable' | 'on-demand';
}

const RETRY_DELAY_MS = 200;
const MAX_TRIES = 50;

/** Registers a backend server at the instance list. */
export async function registerBackend(
  listUrl: string,
  identity: BackendIdentity,
  address: string,
  port: number,
): Promise<void> {
  const {instanceId, service, version, failureDomain, machineClass, market} = identity;
  const body = JSON.stringify({
    instanceId,
    service,
    version,
    failureDomain,
    machineClass,
    market,
    role: 'backend',
    address,
    port,
  });
  let lastReason = '';
  for (let triesLeft = MAX_TRIES; triesLeft > 0; triesLeft--) {
    try {
      const answer = await request(`${listUrl}/standin/instances`, {method: 'POST', body});
      await answer.body.dump();
      if (answer.statusCode === 201) return;
      lastReason = `status ${answer.statusCode}`;
    } catch (error) {
      lastReason = error instanceof Error ? error.message : String(error);
      // The instance list may start after the backend server.
    }
    await sleep(RETRY_DELAY_MS);
  }
  throw new Error(
    `instance list at ${listUrl} took no registration of ${instanceId}: ${lastReason}`,
  );
}

/** Takes a backend server that stops off the instance list. */
export async function unregisterBackend(listUrl: string, instanceId: string): Promise<void> {
  try {
    const url = `${listUrl}/standin/instances/${encodeURIComponent(instanceId)}`;
    const answer = await request(url, {method: 'DELETE'});
    await answer.body.dump();
  } catch {
    // Where the instance list is gone, nobody reads the entry.
  }
}
