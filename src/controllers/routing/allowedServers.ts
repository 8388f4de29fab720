/** Which backend servers may get new work at all. */
import type {BackendServer, FailureDomainStatus, Incident} from '../../blackboard/index.js';

/** What the choice depends on. */
export interface AllowedServersView {
  readonly servers: readonly BackendServer[];
  readonly failureDomains: readonly FailureDomainStatus[];
  readonly incidents: readonly Incident[];
}

/**
 * Returns the backend servers of a service that are live, not leaving, and in a failure domain that is in service.
 * @param view - What the entry knows.
 * @param service - Name of the service.
 * @param nowMs - Present time.
 */
export function getAllowedServers(
  {servers, failureDomains, incidents}: AllowedServersView,
  service: string,
  nowMs: number,
): readonly BackendServer[] {
  const outDomains = new Set(
    failureDomains.filter(({state}) => state === 'out').map(({name}) => name),
  );
  const leaving = new Set(
    incidents
      .filter(({kind, expiresAtMs}) => kind === 'leaving-server' && expiresAtMs > nowMs)
      .map(({subject}) => subject),
  );
  return servers.filter(
    server =>
      server.service === service &&
      server.state === 'live' &&
      server.leavingAtMs === undefined &&
      !leaving.has(server.instanceId) &&
      !outDomains.has(server.failureDomain),
  );
}
