/** Whether a backend server may get a request now. */
import type {KnownServer} from '../../catalog/index.js';

/**
 * `paused`: it wants no requests for some time. `cold`, `limited`: its rate limit while it is cold, or the limit that it
 * has named, is used up. `backoff`: it failed lately, and gets requests only if no other server can have them.
 */
export type ServerAvailability = 'paused' | 'cold' | 'limited' | 'backoff' | 'available';

/** What decides on the availability of the servers, as this gateway sees them. */
export interface AvailabilityView {
  /** Returns the time until a server wants requests again; 0 if it does now. */
  getPauseMs(server: KnownServer): number;
  /** Returns whether the rate limit of a cold server allows a request now; true for a server that isn't cold. */
  hasColdCapacity(server: KnownServer): boolean;
  /** Returns whether the limit that a server has named allows a request now; true for a server without a limit. */
  hasLimitCapacity(server: KnownServer): boolean;
  /** Returns whether a server is in backoff after a failure. */
  isInBackoff(serverId: string): boolean;
}

/** Returns the first reason for which a server may not get a request now; what the server itself says comes first. */
export function getAvailability(view: AvailabilityView, server: KnownServer): ServerAvailability {
  if (view.getPauseMs(server) > 0) return 'paused';
  if (!view.hasColdCapacity(server)) return 'cold';
  if (!view.hasLimitCapacity(server)) return 'limited';
  return view.isInBackoff(server.entry.id) ? 'backoff' : 'available';
}
