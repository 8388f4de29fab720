/** Chooses the entry at which claims of a key are gathered into batches. */
import type {Member} from '../../blackboard/index.js';
import {rankByRendezvous} from '../../utils/index.js';

/**
 * Entries that gather claims for all: few, so that appends to the log don't grow with the number of entries, and more
 * than one, so that a dead one delays only a part.
 */
export const CLAIM_GATHERER_COUNT = 2;

const GATHERER_SEED = 'claim-gatherers';

/**
 * Returns the entry that gathers the claims of a key; undefined where no entry is alive. Views of membership may differ:
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
  const alive = members.filter(({state}) => state === 'alive');
  const getId = ({instanceId}: Member) => instanceId;
  const gatherers = rankByRendezvous(GATHERER_SEED, alive, getId).slice(0, CLAIM_GATHERER_COUNT);
  return rankByRendezvous(`${workspace}\n${key}`, gatherers, getId)[0];
}
