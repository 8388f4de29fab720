/**
 * Decides on which instances model weights are loaded next; the weight store has a limited total bandwidth for all
 * loads.
 */
import type {VersionNeed} from './VersionNeeds.js';

/** A live instance that hasn't loaded the weights of its version yet. */
export interface WaitingInstance {
  readonly instanceId: string;
  readonly service: string;
  readonly version: string;
}

/** Number of ready backend servers of a version. */
export interface ReadyCount {
  readonly service: string;
  readonly version: string;
  readonly count: number;
}

/** Input of `decideLoads`. */
export interface LoadQueueView {
  readonly waiting: readonly WaitingInstance[];
  readonly needs: readonly VersionNeed[];
  readonly ready: readonly ReadyCount[];
  /** Loads that have been requested from the weight store and aren't complete. */
  readonly runningLoads: number;
}

/** A load to request from the weight store. */
export interface StartLoadEffect {
  readonly kind: 'start-load';
  readonly instanceId: string;
  readonly version: string;
}

/**
 * Two concurrent loads keep the weight store busy while one of them completes. More would delay a load that becomes
 * urgent in the meantime.
 */
const MAX_RUNNING_LOADS = 2;

/**
 * Returns the loads to start. The version with the smallest fraction of its needed servers ready comes first; instances
 * of versions that need no servers are left out.
 * @param view - Waiting instances, and needed and ready servers by version.
 */
export function decideLoads(view: LoadQueueView): readonly StartLoadEffect[] {
  const maxNewLoads = Math.max(MAX_RUNNING_LOADS - view.runningLoads, 0);
  return [...view.waiting]
    .filter(waiting => getNeed(view, waiting) > 0)
    .sort((one, other) => getReadyFraction(view, one) - getReadyFraction(view, other))
    .slice(0, maxNewLoads)
    .map(({instanceId, version}) => ({kind: 'start-load', instanceId, version}));
}

function getNeed({needs}: LoadQueueView, waiting: WaitingInstance): number {
  return needs.find(need => isSameVersion(need, waiting))?.replicas ?? 0;
}

function getReadyFraction(view: LoadQueueView, waiting: WaitingInstance): number {
  const count = view.ready.find(one => isSameVersion(one, waiting))?.count ?? 0;
  return count / getNeed(view, waiting);
}

function isSameVersion(
  one: {readonly service: string; readonly version: string},
  other: {readonly service: string; readonly version: string},
): boolean {
  return one.service === other.service && one.version === other.version;
}
