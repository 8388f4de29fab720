/** Decides which weights are loaded next, since the weight store serves a limited rate over all loads. */
import type {VersionNeed} from './VersionNeeds.js';

/** An instance whose version isn't loaded yet. */
export interface WaitingInstance {
  readonly instanceId: string;
  readonly service: string;
  readonly version: string;
}

/** Ready backend servers of a version. */
export interface ReadyCount {
  readonly service: string;
  readonly version: string;
  readonly count: number;
}

/** What the decision about loads reads. */
export interface LoadQueueView {
  readonly waiting: readonly WaitingInstance[];
  readonly needs: readonly VersionNeed[];
  readonly ready: readonly ReadyCount[];
  /** Loads that the store has been asked for and that aren't done. */
  readonly runningLoads: number;
}

/** A load to ask the store for. */
export interface StartLoadEffect {
  readonly kind: 'start-load';
  readonly instanceId: string;
  readonly version: string;
}

/** Two keep the store busy while one ends; more would stand before a load that is needed sooner. */
const MAX_RUNNING_LOADS = 2;

/**
 * Decides which loads to start, those of the version that lacks most of what it needs first.
 * @param view - Instances that wait, and what versions need and have.
 */
export function decideLoads(view: LoadQueueView): readonly StartLoadEffect[] {
  const free = Math.max(MAX_RUNNING_LOADS - view.runningLoads, 0);
  return [...view.waiting]
    .filter(waiting => getNeed(view, waiting) > 0)
    .sort((one, other) => getReadyPart(view, one) - getReadyPart(view, other))
    .slice(0, free)
    .map(({instanceId, version}) => ({kind: 'start-load', instanceId, version}));
}

function getNeed({needs}: LoadQueueView, waiting: WaitingInstance): number {
  return needs.find(need => isSameVersion(need, waiting))?.replicas ?? 0;
}

function getReadyPart(view: LoadQueueView, waiting: WaitingInstance): number {
  const count = view.ready.find(one => isSameVersion(one, waiting))?.count ?? 0;
  return count / getNeed(view, waiting);
}

function isSameVersion(
  one: {readonly service: string; readonly version: string},
  other: {readonly service: string; readonly version: string},
): boolean {
  return one.service === other.service && one.version === other.version;
}
