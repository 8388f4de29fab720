/** Identity of a backend server, and its registration in the instance list. */
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';

/** Fields that a backend server registers in the instance list, besides its address. */
export interface BackendIdentity {
  readonly instanceId: string;
  readonly service: string;
  readonly version: string;
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly market: 'reclaimable' | 'on-demand';
}

const RETRY_DELAY_MS = 200;
const MAX_REGISTRATION_ATTEMPTS = 50;

/**
 * Registers a backend server in the instance list; retries, since the list may start after the backend server.
 * @throws Error with the last failure after `MAX_REGISTRATION_ATTEMPTS` attempts.
 */
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
  for (
    let remainingAttempts = MAX_REGISTRATION_ATTEMPTS;
    remainingAttempts > 0;
    remainingAttempts--
  ) {
    try {
      const response = await request(`${listUrl}/standin/instances`, {method: 'POST', body});
      await response.body.dump();
      if (response.statusCode === 201) return;
      lastReason = `status ${response.statusCode}`;
    } catch (error) {
      lastReason = error instanceof Error ? error.message : String(error);
    }
    await sleep(RETRY_DELAY_MS);
  }
  throw new Error(
    `instance list at ${listUrl} did not accept the registration of ${instanceId}: ${lastReason}`,
  );
}

/** Removes a stopping backend server from the instance list; ignores an unreachable list. */
export async function unregisterBackend(listUrl: string, instanceId: string): Promise<void> {
  try {
    const url = `${listUrl}/standin/instances/${encodeURIComponent(instanceId)}`;
    const response = await request(url, {method: 'DELETE'});
    await response.body.dump();
  } catch {
    // If the instance list has stopped, nothing reads the entry.
  }
}
