/** Chooses the entry at which claims of a key are gathered into batches. */
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
 * Returns the number of entries that append claims.
 * @param members - Entries, this one included.
 */
export function countClaimAppenders(members: readonly Member[]): number {
  const aliveCount = members.filter(isAlive).length;
  return aliveCount > MAX_SELF_CLAIMING_ENTRIES ? CLAIM_GATHERER_COUNT : aliveCount;
}

/**
 * Returns the entry that gathers the claims of a key; undefined where each entry claims for itself. Views of membership may differ:
 * the log decides, so two gatherers for a key cost an append and nothing else.
 * @param workspace - Workspace of the key.
 * @param key - The key.
 * @param members - Entries, this one included.
 */
export function chooseClaimGatherer(
  workspace: string,
  key: string,
  members: readonly Member[],
): Member | undefined {
  const alive = members.filter(isAlive);
  if (alive.length <= MAX_SELF_CLAIMING_ENTRIES) return undefined;
  const getId = ({instanceId}: Member) => instanceId;
  const gatherers = rankByRendezvous(GATHERER_SEED, alive, getId).slice(0, CLAIM_GATHERER_COUNT);
  return rankByRendezvous(`${workspace}\n${key}`, gatherers, getId)[0];
}

function isAlive({state}: Member): boolean {
  return state === 'alive';
}
