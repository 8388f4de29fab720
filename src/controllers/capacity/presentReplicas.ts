/** Tells how many backend servers of a service would be left after the loss of any failure domain. */
import type {Instance, Move} from '../../blackboard/index.js';
import type {Service} from '../../configuration/index.js';
import {isMoveEnded} from '../../folds/index.js';
import {getVersionShares} from '../moves/index.js';

/** What is counted. */
export interface PresentReplicasView {
  readonly service: Service;
  readonly moves: readonly Move[];
  /** Live backend servers that aren't drained. */
  readonly servers: readonly Instance[];
  readonly openDomains: readonly string[];
}

/**
 * Returns the backend servers that would be left after the loss of the fullest failure domain; all where only one is open,
 * which has no spare. Servers that a move under way tries out don't count, as the old version keeps all of its own.
 * @param view - Servers and moves.
 */
export function getPresentReplicas(view: PresentReplicasView): number {
  const shares = getVersionShares(view.service, view.moves.filter(isMoveEnded));
  return shares
    .filter(({sharePercent}) => sharePercent > 0)
    .reduce((sum, {name}) => sum + countLeft(view, name), 0);
}

function countLeft({servers, openDomains}: PresentReplicasView, version: string): number {
  const counts = openDomains.map(
    failureDomain =>
      servers.filter(one => one.version === version && one.failureDomain === failureDomain).length,
  );
  const total = counts.reduce((sum, count) => sum + count, 0);
  return counts.length < 2 ? total : total - Math.max(0, ...counts);
}
