/** Filter of the backend servers that may get new requests. */
import type {BackendServer, FailureDomainStatus, Incident} from '../../blackboard/index.js';

/** State of the deployment that the filter reads. */
export interface AllowedServersView {
  readonly servers: readonly BackendServer[];
  readonly failureDomains: readonly FailureDomainStatus[];
  readonly incidents: readonly Incident[];
}

/** Returns the servers of a service that are live, not leaving, and not in a failure domain that is out of service. */
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
