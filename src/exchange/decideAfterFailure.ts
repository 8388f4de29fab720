/** Decides whether a request whose try failed is sent once more, and what its caller is told otherwise. */
import type {RouteKind} from '../catalog/index.js';
import type {RefusalKind} from './ExchangeTypes.js';

/**
 * How a try ended without a success.
 *
 * - `unreachable`: the server can't have got the request.
 * - `not-run`: the server states that it didn't run the request.
 * - `answered-failure`: the server ran the request and answered with a failure.
 * - `unsigned`: an answer without a server's signature.
 * - `broken`: no whole answer; the request may have run.
 */
export interface TryEnd {
  readonly kind: 'unreachable' | 'not-run' | 'answered-failure' | 'unsigned' | 'broken';
  readonly status: number | undefined;
  readonly message?: string;
}

/** What the decision depends on. */
export interface FailureView {
  readonly end: TryEnd;
  readonly kind: RouteKind;
  readonly isResumable: boolean;
  /** Whether the caller already has a part of the answer. */
  readonly isAnswerStarted: boolean;
  /** Whether the place is known at which a started answer would go on. */
  readonly canResume: boolean;
  /** Whether this try or an earlier one may have run. */
  readonly mayHaveRun: boolean;
  readonly attempts: number;
  readonly maxAttempts: number;
  /** Time until the caller's deadline. */
  readonly leftMs: number;
}

/** Another try, or the end; `refusal` is for the caller where no other try can be made. */
export interface FailureDecision {
  readonly kind: 'retry' | 'end';
  readonly refusal: RefusalKind;
}

/** Tries beyond those of the route while no server has run the request. */
const EXTRA_UNRUN_ATTEMPTS = 2;
/** With less time left than this another try can't end in time. */
const MIN_LEFT_MS = 20;

/**
 * Decides about a failed try.
 * @param view - The failure and its request.
 */
export function decideAfterFailure(view: FailureView): FailureDecision {
  const refusal = getRefusal(view);
  return {kind: canRetry(view) ? 'retry' : 'end', refusal};
}

function canRetry(view: FailureView): boolean {
  const {kind, isResumable, mayHaveRun, attempts, maxAttempts, leftMs, end} = view;
  if (leftMs < MIN_LEFT_MS) return false;
  if (!mayHaveRun) return attempts < maxAttempts + EXTRA_UNRUN_ATTEMPTS;
  if (attempts >= maxAttempts) return false;
  if (kind === 'idempotent') return !view.isAnswerStarted && !isRequestsOwnFault(end);
  return kind === 'stream' && isResumable && view.canResume && !isRequestsOwnFault(end);
}

/** Another server would answer a 4xx alike. */
function isRequestsOwnFault({kind, status}: TryEnd): boolean {
  return kind === 'answered-failure' && status !== undefined && status < 500;
}

function getRefusal({end, mayHaveRun}: FailureView): RefusalKind {
  if (mayHaveRun) return 'backend-failed';
  return end.kind === 'not-run' ? 'backend-refused' : 'no-server';
}
