/** Retry policy of a run: whether a failed attempt is retried, and which error the caller gets if it isn't. */
import type {Route, RouteKind} from '../catalog/index.js';
import type {RefusalKind} from './ExchangeTypes.js';

/**
 * How an attempt failed.
 *
 * - `unreachable`: the server can't have received the request.
 * - `not-run`: the server states that it didn't run the request.
 * - `answered-failure`: the server ran the request and responded with an error status.
 * - `unsigned`: the response has no signature of a backend server.
 * - `broken`: the response is incomplete; the request may have run.
 * - `stalled`: there is no response although it is long overdue; the request may have run.
 */
export interface AttemptFailure {
  readonly kind: 'unreachable' | 'not-run' | 'answered-failure' | 'unsigned' | 'broken' | 'stalled';
  /** Status of the response; undefined if there was none. */
  readonly status: number | undefined;
  /** Error message of the transport; undefined if the failure is described by kind and status. */
  readonly message?: string;
}

/** A failed attempt and the state of its request. */
export interface FailureView {
  readonly end: AttemptFailure;
  /** How often the route allows a request to be executed. */
  readonly kind: RouteKind;
  /** Whether the route's streams can be resumed after an event. */
  readonly isResumable: boolean;
  /** Whether a part of the response was already forwarded to the caller. */
  readonly isResponseStarted: boolean;
  /** Whether no response was started, or the id of the last forwarded event is known. */
  readonly canResume: boolean;
  /** Whether this attempt or an earlier one may have run. */
  readonly mayHaveRun: boolean;
  /** Attempts made so far, this one included. */
  readonly attempts: number;
  /** Most attempts of the route for a request that may have run. */
  readonly maxAttempts: number;
  /** Time until the caller's deadline. */
  readonly remainingMs: number;
}

/** Whether the attempt is retried. */
export interface FailureDecision {
  readonly kind: 'retry' | 'end';
  /** Error for the caller if there is no retry, also if one is allowed but the retry budget is exhausted. */
  readonly refusal: RefusalKind;
}

/** Attempts in addition to the route's, as long as no server can have run the request. */
const EXTRA_NOT_RUN_ATTEMPTS = 2;
/** Least time until the deadline for a retry to be worthwhile. */
const MIN_REMAINING_MS = 20;

/**
 * Decides whether a failed attempt is retried. A request that can't have run is sent again whatever its route. One that
 * may have run is sent again only if it is idempotent and no response was started, or if it is a resumable stream.
 */
export function decideAfterFailure(view: FailureView): FailureDecision {
  const refusal = getRefusal(view);
  return {kind: canRetry(view) ? 'retry' : 'end', refusal};
}

function canRetry(view: FailureView): boolean {
  const {kind, mayHaveRun, attempts, maxAttempts, remainingMs, end} = view;
  if (remainingMs < MIN_REMAINING_MS) return false;
  if (!mayHaveRun) return attempts < maxAttempts + EXTRA_NOT_RUN_ATTEMPTS;
  if (attempts >= maxAttempts) return false;
  if (!mayRunAgain(view) || isClientError(end)) return false;
  return kind === 'idempotent' ? !view.isResponseStarted : view.canResume;
}

/** Returns whether the requests of a route may be executed more than once. */
export function mayRunAgain({kind, isResumable}: Pick<Route, 'kind' | 'isResumable'>): boolean {
  return kind === 'idempotent' || (kind === 'stream' && isResumable);
}

/** A 4xx status is the fault of the request: another server would return the same. */
function isClientError({kind, status}: AttemptFailure): boolean {
  return kind === 'answered-failure' && status !== undefined && status < 500;
}

function getRefusal({end, mayHaveRun}: FailureView): RefusalKind {
  if (mayHaveRun) return 'backend-failed';
  return end.kind === 'not-run' ? 'backend-refused' : 'no-server';
}
