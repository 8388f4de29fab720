/** Counts the backend servers of a service that would remain after the loss of a failure domain. */
import type {Instance, Move} from '../../blackboard/index.js';
import type {Service} from '../../configuration/index.js';
import {isMoveEnded} from '../../folds/index.js';
import {getVersionShares} from '../moves/index.js';

/** Input of `getSurvivingReplicas`. */
export interface SurvivingReplicasView {
  readonly service: Service;
  readonly moves: readonly Move[];
  /** Live backend servers that aren't being drained. */
  readonly servers: readonly Instance[];
  readonly availableDomains: readonly string[];
}

/**
 * Returns the number of backend servers that remain after the loss of the failure domain with the most servers. With
 * only one available failure domain there are no spares, so all its servers count. Servers of a move's new version
 * don't count before it is done, as the old version keeps all its servers until then.
 * @param view - Servers and moves of one service.
 */
export function getSurvivingReplicas(view: SurvivingReplicasView): number {
  const shares = getVersionShares(view.service, view.moves.filter(isMoveEnded));
  return shares
    .filter(({sharePercent}) => sharePercent > 0)
    .reduce((sum, {name}) => sum + countRemaining(view, name), 0);
}

function countRemaining(
  {servers, availableDomains}: SurvivingReplicasView,
  version: string,
): number {
  const counts = availableDomains.map(
    failureDomain =>
      servers.filter(one => one.version === version && one.failureDomain === failureDomain).length,
  );
  const total = counts.reduce((sum, count) => sum + count, 0);
  return counts.length < 2 ? total : total - Math.max(0, ...counts);
}
