/** Decides whether and when a failed try is followed by another one. */
import type {ErrorKind, RunState} from '../../errors/index.js';

/**
 * How a try failed.
 *
 * - `not-connected`: no connection stood, so nothing was sent.
 * - `refused`: the backend server said that it took no work (429 or 503).
 * - `rejected`: the backend server found fault with the request itself (another 4xx).
 * - `failed`: the backend server answered 5xx.
 * - `broken`: the connection broke before the answer ended.
 * - `silent`: nothing came within the time allowed.
 * - `moved`: the entry gave the try up itself, since the backend server leaves.
 */
export type AttemptFailureKind =
  'not-connected' | 'refused' | 'rejected' | 'failed' | 'broken' | 'silent' | 'moved';

/** What a retry depends on. */
export interface RetryView {
  readonly failure: AttemptFailureKind;
  readonly isIdempotent: boolean;
  /** Tries made so far, moves not counted. */
  readonly attempts: number;
  readonly deadlineAtMs: number;
  readonly hasBudget: boolean;
}

/** Another try after a delay, or the end. */
export type RetryDecision =
  | {readonly kind: 'retry'; readonly delayMs: number; readonly usesBudget: boolean}
  | {readonly kind: 'fail'; readonly errorKind: ErrorKind; readonly run: RunState};

/** Tries of one request, after which its failure is its own. */
const MAX_ATTEMPTS = 6;
const BASE_DELAY_MS = 50;
const MAX_DELAY_MS = 1_000;
/** Delay of a retry that waits for budget. */
const BUDGET_DELAY_MS = 250;

/**
 * Decides about a failed try.
 *
 * A request that is not idempotent is tried again only where nothing was sent. A move off a leaving backend server costs
 * no budget, since it adds no load beyond what was accepted.
 * @param view - The failure and its request.
 * @param nowMs - Present time.
 * @param random - Returns a number from 0 up to 1; spreads retries in time.
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

/** The first retry of a broken try goes out at once, since another backend server takes it. */
function getDelayMs(failure: AttemptFailureKind, attempts: number, random: () => number): number {
  if (attempts === 1 && failure !== 'refused') return 0;
  const maxDelayMs = Math.min(MAX_DELAY_MS, BASE_DELAY_MS * 2 ** attempts);
  return random() * maxDelayMs;
}
