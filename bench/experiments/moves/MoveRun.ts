/** Parameters and result of one simulated version move. */
import type {Move} from '../../../src/blackboard/index.js';
import type {LogBodyOf} from '../../../src/records/index.js';

/** Fault of the new version; `good` for none. */
export type VersionKind =
  | 'good'
  | 'errors-at-once'
  | 'errors-later'
  | 'errors-under-load'
  | 'errors-on-one-route'
  | 'slow-first-token'
  | 'slow-first-token-later'
  | 'slow-tokens';

/** Event during the move that has nothing to do with the new version's quality. */
export type Disturbance = 'none' | 'overload' | 'reclaim-wave' | 'holder-killed';

/** Parameters of a run; equal parameters give equal results. */
export interface MoveRun {
  readonly kind: VersionKind;
  readonly disturbance: Disturbance;
  readonly seed: number;
  /** Time in milliseconds from the request of the move to its deadline; 420,000 if undefined. */
  readonly deadlineMs?: number;
  /** Mean request rate of the service; 40 if undefined. */
  readonly requestsPerSecond?: number;
  /** Probability that a request that meets the fault fails, 0 to 1; 0.2 if undefined. */
  readonly faultErrorProbability?: number;
  /** Factor by which a slow version's latency grows; 1.7 if undefined. */
  readonly slowdownFactor?: number;
}

/** Result of a run. */
export interface MoveRunResult {
  readonly move: Move;
  readonly endedAtMs: number;
  /** Requests to both versions between the request of the move and its deadline. */
  readonly allRequests: number;
  /** Requests to the new version until the deadline. */
  readonly requests: number;
  /** Requests that met the new version's fault. */
  readonly faultyRequests: number;
  /** Virtual time of the first such request; undefined if there was none. */
  readonly firstFaultAtMs: number | undefined;
  /** Requests to the new version more than 10 s after the first one that met the fault. */
  readonly requestsAfterFault: number;
  readonly largestSharePercent: number;
  /** The move's steps in the order in which they were appended. */
  readonly steps: ReadonlyArray<LogBodyOf<'move-step'>>;
}

/** Virtual time in milliseconds at which the move is requested; until then only the old version runs. */
export const MOVE_STARTS_AT_MS = 60_000;

const DEADLINE_MS = 420_000;

/** Returns the virtual time in milliseconds by which the run's move must be done. */
export function getDeadlineAtMs({deadlineMs}: MoveRun): number {
  return MOVE_STARTS_AT_MS + (deadlineMs ?? DEADLINE_MS);
}
