/** Limit on the requests that this entry has open at a backend server, by the warmth of the server. */
import type {BackendServer, Member, Warmth} from '../../blackboard/index.js';
import type {Service} from '../../configuration/index.js';
import {rankByRendezvous} from '../../utils/index.js';
import {GROWTH_START_LEVEL} from './warmthState.js';

/** A backend server and the entries that share it. */
export interface WarmthLimitView {
  readonly server: BackendServer;
  readonly service: Service;
  /** Members of the cluster that this entry knows; those that are not alive or suspect don't share the server. */
  readonly entries: readonly Member[];
  readonly ownInstanceId: string;
  /** Warmth level from 0, cold, to 1, warm. Undefined: it is derived from the warmth that the server's record names. */
  readonly level?: number;
}

/** Warmth level that is assumed for a warmth of which only the name is known. */
const ASSUMED_LEVELS: Readonly<Record<Warmth, number>> = {
  cold: 0,
  suspect: 0,
  warming: 0.25,
  warm: 1,
};

/** Entries that share the request slots of a backend server that isn't warm; all others send it nothing. */
const SHARING_ENTRIES = 4;

/**
 * Returns how many requests this entry may have open at the server.
 *
 * The total over all entries stays at the cold limit up to `GROWTH_START_LEVEL`, since a server that has completed a
 * few requests may still be cold, and grows linearly to the warm limit from there. Its slots are dealt round-robin to
 * the entries with the first ranks by rendezvous hashing. The share of an entry depends only on its rank and the total,
 * and grows with the total. All entries together therefore stay within the highest total that any of them sees, without
 * coordination. At a warm server each entry may use the full limit of the service.
 */
export function getWarmthLimit(view: WarmthLimitView): number {
  const {server, service} = view;
  const level = view.level ?? ASSUMED_LEVELS[server.warmth];
  const {maxConcurrentRequests, coldConcurrentRequests} = service;
  if (level >= 1) return maxConcurrentRequests;
  const coldRequests = Math.min(coldConcurrentRequests, maxConcurrentRequests);
  const grownFraction = Math.max(0, level - GROWTH_START_LEVEL) / (1 - GROWTH_START_LEVEL);
  const grownRequests = Math.floor((maxConcurrentRequests - coldRequests) * grownFraction);
  const rank = getOwnRank(view);
  if (rank >= SHARING_ENTRIES) return 0;
  return Math.floor((coldRequests + grownRequests + SHARING_ENTRIES - 1 - rank) / SHARING_ENTRIES);
}

function getOwnRank({server, entries, ownInstanceId}: WarmthLimitView): number {
  const candidates = entries
    .filter(({state}) => state === 'alive' || state === 'suspect')
    .map(({instanceId}) => instanceId);
  if (!candidates.includes(ownInstanceId)) candidates.push(ownInstanceId);
  return rankByRendezvous(server.instanceId, candidates, id => id).indexOf(ownInstanceId);
}
