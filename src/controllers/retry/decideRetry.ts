/** Retry policy: decides whether and when a failed attempt is retried. */
import type {ErrorKind, RunState} from '../../errors/index.js';

/**
 * How an attempt failed.
 *
 * - `not-connected`: no connection was established, so nothing was sent.
 * - `refused`: the backend server didn't accept the request (status 404, 429 or 503).
 * - `rejected`: the request itself is invalid (any other 4xx status).
 * - `failed`: the backend server responded with another 5xx status.
 * - `broken`: the connection was lost before the response was complete.
 * - `silent`: no data arrived before the stall timeout.
 * - `moved`: the entry cancelled the attempt, because the backend server is leaving.
 */
export type AttemptFailureKind =
  'not-connected' | 'refused' | 'rejected' | 'failed' | 'broken' | 'silent' | 'moved';

/** A failed attempt and the state of its request. */
export interface RetryView {
  readonly failure: AttemptFailureKind;
  /** Whether the request may be executed more than once. */
  readonly isIdempotent: boolean;
  /** Attempts made so far, without those that ended as `moved`. */
  readonly attempts: number;
  readonly deadlineAtMs: number;
  /** Whether the retry budget allows a retry now. */
  readonly hasBudget: boolean;
}

/** A retry after a delay, or the error that the caller gets. */
export type RetryDecision =
  | {
      readonly kind: 'retry';
      readonly delayMs: number;
      /** Whether the retry must be charged to the retry budget. */
      readonly usesBudget: boolean;
    }
  | {
      readonly kind: 'fail';
      readonly errorKind: ErrorKind;
      /** Whether a backend server executed the request, as far as it is known. */
      readonly run: RunState;
    };

/** Most attempts of one request. After that many failures, the request itself is the likely cause. */
const MAX_ATTEMPTS = 6;
/** Base of the exponential backoff. */
const BASE_DELAY_MS = 50;
const MAX_DELAY_MS = 1_000;
/** Delay before a retry for which the budget is exhausted; the budget isn't checked again after it. */
const BUDGET_DELAY_MS = 250;

/**
 * Decides whether a failed attempt is retried.
 *
 * A request that isn't idempotent is retried only if nothing was sent. Moving a request off a leaving backend server
 * isn't charged to the retry budget, since it adds no load beyond the accepted requests.
 * @param random - Returns a number from 0 up to 1; jitters the delay.
 */
export function decideRetry(view: RetryView, nowMs: number, random: () => number): RetryDecision {
  const {failure, isIdempotent, attempts, deadlineAtMs, hasBudget} = view;
  if (failure === 'rejected') return fail(view);
  if (!isIdempotent && failure !== 'not-connected') return fail(view);
  if (failure === 'moved') return {kind: 'retry', delayMs: 0, usesBudget: false};
  if (attempts >= MAX_ATTEMPTS) return fail(view);
  const delayMs = hasBudget ? getDelayMs(failure, attempts, random) : BUDGET_DELAY_MS;
  if (nowMs + delayMs >= deadlineAtMs) return fail(view);
  return {kind: 'retry', delayMs, usesBudget: true};
}

function fail({failure, isIdempotent}: RetryView): RetryDecision {
  const errorKind = failure === 'silent' ? 'backend-timeout' : 'backend-failed';
  return {kind: 'fail', errorKind, run: getRunState(failure, isIdempotent)};
}

function getRunState(failure: AttemptFailureKind, isIdempotent: boolean): RunState {
  if (!isIdempotent && failure === 'not-connected') return 'not-run';
  return failure === 'rejected' ? 'ran' : 'unknown';
}

/**
 * Exponential backoff with full jitter. The first retry isn't delayed unless the server refused: it uses another one.
 */
function getDelayMs(failure: AttemptFailureKind, attempts: number, random: () => number): number {
  if (attempts === 1 && failure !== 'refused') return 0;
  const maxDelayMs = Math.min(MAX_DELAY_MS, BASE_DELAY_MS * 2 ** attempts);
  return random() * maxDelayMs;
}
