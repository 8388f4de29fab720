/** A seeded run of a version move, and how it ended. */
import type {Move} from '../../../src/blackboard/index.js';
import type {LogBodyOf} from '../../../src/records/index.js';

/** What is wrong with a version; nothing where it is good. */
export type VersionKind =
  | 'good'
  | 'errors-at-once'
  | 'errors-later'
  | 'errors-under-load'
  | 'errors-on-one-route'
  | 'slow-first-token'
  | 'slow-first-token-later'
  | 'slow-tokens';

/** What else happens during a move. */
export type Disturbance = 'none' | 'overload' | 'reclaim-wave' | 'holder-killed';

/** A seeded run. */
export interface MoveRun {
  readonly kind: VersionKind;
  readonly disturbance: Disturbance;
  readonly seed: number;
  readonly deadlineMs?: number;
  readonly requestsPerSecond?: number;
  /** Part of the requests that meet the fault of a failing version and fail. */
  readonly faultErrorPart?: number;
  /** How many times the usual time a slow version takes. */
  readonly slowdownFactor?: number;
}

/** How a run ended. */
export interface MoveRunResult {
  readonly move: Move;
  readonly endedAtMs: number;
  /** Requests of both versions from the request of the move until its deadline. */
  readonly allRequests: number;
  /** Requests to the new version until the deadline. */
  readonly requests: number;
  /** Requests that met the new version's fault. */
  readonly faultyRequests: number;
  /** Instant of the first one; undefined where none met it. */
  readonly firstFaultAtMs: number | undefined;
  /** Requests to the new version later than 10 s after the first one that met the fault. */
  readonly requestsAfterFault: number;
  readonly largestSharePercent: number;
  /** The move's steps as written. */
  readonly steps: ReadonlyArray<LogBodyOf<'move-step'>>;
}

/** Instant at which a move is requested; before it, the old version runs alone. */
export const MOVE_STARTS_AT_MS = 60_000;

const DEADLINE_MS = 420_000;

/**
 * Returns the instant by which a run's move has to be done.
 * @param run - The run.
 */
export function getDeadlineAtMs({deadlineMs}: MoveRun): number {
  return MOVE_STARTS_AT_MS + (deadlineMs ?? DEADLINE_MS);
}
