/** How many requests this entry may have open at a backend server, by the server's warmth. */
import type {BackendServer, Member, Warmth} from '../../blackboard/index.js';
import type {Service} from '../../configuration/index.js';
import {rankByRendezvous} from '../../utils/index.js';
import {GROWTH_START_PART} from './warmthState.js';

/** What the limit depends on. */
export interface WarmthLimitView {
  readonly server: BackendServer;
  readonly service: Service;
  readonly entries: readonly Member[];
  readonly ownInstanceId: string;
  /** From 0, cold, to 1, warm; absent where only the name of the warmth is known. */
  readonly levelPart?: number;
}

const LEVEL_PARTS: Readonly<Record<Warmth, number>> = {cold: 0, suspect: 0, warming: 0.25, warm: 1};

/** Entries that share the places of a backend server which is not warm. */
const SHARING_ENTRIES = 4;

/**
 * Returns how many requests this entry may have open at the server.
 *
 * The total over all entries stays at the cold limit up to a level of warmth, since a server that has answered a few requests
 * may still be cold, and grows from there to the warm one. Its places are dealt in turn to the
 * first ranks by rendezvous hash. What an entry gets depends on its rank and on the total only, and grows with the total;
 * so all entries together keep to the highest total that any of them sees, without asking each other. A warm server is
 * free to all, up to what the service allows.
 * @param view - The server, its service and the entries known here.
 */
export function getWarmthLimit(view: WarmthLimitView): number {
  const {server, service} = view;
  const levelPart = view.levelPart ?? LEVEL_PARTS[server.warmth];
  const {maxConcurrentRequests, coldConcurrentRequests} = service;
  if (levelPart >= 1) return maxConcurrentRequests;
  const coldRequests = Math.min(coldConcurrentRequests, maxConcurrentRequests);
  const grownPart = Math.max(0, levelPart - GROWTH_START_PART) / (1 - GROWTH_START_PART);
  const growth = Math.floor((maxConcurrentRequests - coldRequests) * grownPart);
  const rank = getOwnRank(view);
  if (rank >= SHARING_ENTRIES) return 0;
  return Math.floor((coldRequests + growth + SHARING_ENTRIES - 1 - rank) / SHARING_ENTRIES);
}

function getOwnRank({server, entries, ownInstanceId}: WarmthLimitView): number {
  const candidates = entries
    .filter(({state}) => state === 'alive' || state === 'suspect')
    .map(({instanceId}) => instanceId);
  if (!candidates.includes(ownInstanceId)) candidates.push(ownInstanceId);
  return rankByRendezvous(server.instanceId, candidates, id => id).indexOf(ownInstanceId);
}
