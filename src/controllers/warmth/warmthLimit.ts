/** How many requests this entry may have open at a backend server, by the server's warmth. */
import type {BackendServer, Member} from '../../blackboard/index.js';
import type {Service} from '../../configuration/index.js';
import {rankByRendezvous} from '../../utils/index.js';

/** What the limit depends on. */
export interface WarmthLimitView {
  readonly server: BackendServer;
  readonly service: Service;
  readonly entries: readonly Member[];
  readonly ownInstanceId: string;
}

/** Entries that share a warming backend server. */
const WARMING_ENTRIES = 2;

/**
 * Returns how many requests this entry may have open at the server.
 *
 * A cold server is used by one entry, the first by rendezvous hash, and a warming one by the first two. So all entries
 * together keep to the configured limit without asking each other.
 * @param view - The server, its service and the entries known here.
 */
export function getWarmthLimit(view: WarmthLimitView): number {
  const {server, service} = view;
  switch (server.warmth) {
    case 'warm':
      return service.maxConcurrentRequests;
    case 'warming':
      return getOwnRank(view) < WARMING_ENTRIES ? service.coldConcurrentRequests : 0;
    case 'cold':
    case 'suspect':
      return getOwnRank(view) === 0 ? service.coldConcurrentRequests : 0;
  }
}

function getOwnRank({server, entries, ownInstanceId}: WarmthLimitView): number {
  const candidates = entries
    .filter(({state}) => state === 'alive' || state === 'suspect')
    .map(({instanceId}) => instanceId);
  if (!candidates.includes(ownInstanceId)) candidates.push(ownInstanceId);
  return rankByRendezvous(server.instanceId, candidates, id => id).indexOf(ownInstanceId);
}
