/** Computes how many requests of a service this entry may run concurrently. */
import type {Blackboard} from '../blackboard/index.js';
import {getAllowedServers} from '../controllers/routing/index.js';
import type {ServerTracker} from '../engine/index.js';

/**
 * Returns the sum of this entry's concurrency limits at all backend servers that may receive new requests. A request
 * whose backend server drains keeps its slot until it ends. The result is at least 1, so that requests for a
 * service without backend servers are admitted and then refused, rather than queued.
 * @param blackboard - Shared state of the entry.
 * @param tracker - Limits and reachability of the backend servers.
 * @param serviceName - Name of the service; the capacity of an unknown one is 1.
 * @param nowMs - Unix time in milliseconds.
 */
export function getServiceCapacity(
  blackboard: Blackboard,
  tracker: ServerTracker,
  serviceName: string,
  nowMs: number,
): number {
  const {configuration, backendServers, failureDomains, incidents} = blackboard.getSections();
  const service = configuration.configuration?.services.find(({name}) => name === serviceName);
  if (!service) return 1;
  const allowedServers = getAllowedServers(
    {
      servers: backendServers.servers,
      failureDomains: failureDomains.domains,
      incidents: incidents.incidents,
    },
    serviceName,
    nowMs,
  );
  const slots = allowedServers
    .filter(({instanceId}) => !tracker.isDown(instanceId))
    .reduce((sum, server) => sum + tracker.getLimit(server, service), 0);
  return Math.max(1, slots);
}
