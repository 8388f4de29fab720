/** Chooses the entry at which claims of another are gathered into batches. */
import type {Member} from '../../blackboard/index.js';
import {rankByRendezvous} from '../../utils/index.js';

/** Largest number of entries of which each claims for itself: calls between entries cost more than appends up to it. */
export const MAX_SELF_CLAIMING_ENTRIES = 9;

/**
 * Entries that gather claims for all beyond that: few, so that appends to the log don't grow with the number of entries, and more
 * than one, so that a dead one delays only a part.
 */
export const CLAIM_GATHERER_COUNT = 2;

const GATHERER_SEED = 'claim-gatherers';

/**
 * Returns the number of entries among which this one shares the log's appends. One that doesn't gather appends only where its
 * gatherer fails it, then like all the others.
 * @param selfId - This entry's instance.
 * @param members - Entries, this one included.
 */
export function countClaimAppenders(selfId: string, members: readonly Member[]): number {
  const alive = members.filter(isAlive);
  const isGathering =
    alive.length > MAX_SELF_CLAIMING_ENTRIES && chooseClaimGatherer(selfId, members) === undefined;
  return isGathering ? CLAIM_GATHERER_COUNT : alive.length;
}

/**
 * Returns the entry that gathers claims for this one; undefined where this one claims for itself. All claims of an entry go to one
 * gatherer, so that they share calls. Views of membership may differ: the log decides, so two gatherers for a key cost an
 * append and nothing else.
 * @param selfId - This entry's instance.
 * @param members - Entries, this one included.
 */
export function chooseClaimGatherer(
  selfId: string,
  members: readonly Member[],
): Member | undefined {
  const alive = members.filter(isAlive);
  if (alive.length <= MAX_SELF_CLAIMING_ENTRIES) return undefined;
  const ranked = rankByRendezvous(GATHERER_SEED, alive, ({instanceId}) => instanceId);
  const ownRank = ranked.findIndex(({instanceId}) => instanceId === selfId);
  if (ownRank >= 0 && ownRank < CLAIM_GATHERER_COUNT) return undefined;
  return ranked[Math.max(ownRank, 0) % CLAIM_GATHERER_COUNT];
}

function isAlive({state}: Member): boolean {
  return state === 'alive';
}
