/** How many requests of a service this entry may run at a time. */
import type {Blackboard} from '../blackboard/index.js';
import {getAllowedServers} from '../controllers/routing/index.js';
import type {ServerTracker} from '../engine/index.js';

/**
 * Returns the sum of the places at all backend servers that may get new work; a request whose backend server leaves keeps
 * its place until it ends. One at least, so that a service without backend servers refuses instead of queueing.
 * @param blackboard - What the entry knows.
 * @param tracker - What it has learned of the backend servers.
 * @param serviceName - The service.
 * @param nowMs - Present time.
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
  const allowed = getAllowedServers(
    {
      servers: backendServers.servers,
      failureDomains: failureDomains.domains,
      incidents: incidents.incidents,
    },
    serviceName,
    nowMs,
  );
  const places = allowed
    .filter(({instanceId}) => !tracker.isDown(instanceId))
    .reduce((sum, server) => sum + tracker.getLimit(server, service), 0);
  return Math.max(1, places);
}
