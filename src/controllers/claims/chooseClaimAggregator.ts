/** Chooses the entry that aggregates another entry's claims into batches, which it appends to the log. */
import type {Member} from '../../blackboard/index.js';
import {rankByRendezvous} from '../../utils/index.js';

/**
 * Largest number of entries at which each entry appends its own claims to the log. Up to it, calls between entries
 * would cost more than the appends that they save.
 */
export const MAX_ENTRIES_WITHOUT_AGGREGATORS = 9;

/**
 * Number of claim aggregators in larger deployments: few, so that appends to the log don't grow with the number of
 * entries, and more than one, so that the failure of an aggregator delays only a part of the claims.
 */
export const CLAIM_AGGREGATOR_COUNT = 2;

const AGGREGATOR_RANKING_KEY = 'claim-gatherers';

/**
 * Returns the number of entries that share the log's append capacity with this one. An entry that isn't an aggregator
 * appends only when its aggregator fails; it then has to expect that all other entries append as well.
 * @param selfId - Instance id of this entry.
 * @param members - All entries, including this one.
 */
export function countClaimAppenders(selfId: string, members: readonly Member[]): number {
  const alive = members.filter(isAlive);
  const isAggregator =
    alive.length > MAX_ENTRIES_WITHOUT_AGGREGATORS &&
    chooseClaimAggregator(selfId, members) === undefined;
  return isAggregator ? CLAIM_AGGREGATOR_COUNT : alive.length;
}

/**
 * Returns the aggregator of this entry's claims; undefined if the entry appends its own claims. All claims of an entry
 * go to the same aggregator, so that they share calls. Entries with different membership views may choose different
 * aggregators for the same key. This costs an additional append but grants no second claim, as the order of the log
 * decides.
 * @param selfId - Instance id of this entry.
 * @param members - All entries, including this one.
 */
export function chooseClaimAggregator(
  selfId: string,
  members: readonly Member[],
): Member | undefined {
  const alive = members.filter(isAlive);
  if (alive.length <= MAX_ENTRIES_WITHOUT_AGGREGATORS) return undefined;
  const ranked = rankByRendezvous(AGGREGATOR_RANKING_KEY, alive, ({instanceId}) => instanceId);
  const ownRank = ranked.findIndex(({instanceId}) => instanceId === selfId);
  if (ownRank >= 0 && ownRank < CLAIM_AGGREGATOR_COUNT) return undefined;
  return ranked[Math.max(ownRank, 0) % CLAIM_AGGREGATOR_COUNT];
}

function isAlive({state}: Member): boolean {
  return state === 'alive';
}
