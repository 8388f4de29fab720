/** Decides what a request with an idempotency key may do, from the claim that holds its key. */
import type {KeptClaim} from '../../folds/index.js';
import type {StoredAnswer} from '../../records/index.js';

/** A request that may run at most once and asks for its key. */
export interface ClaimRequest {
  readonly workspace: string;
  readonly key: string;
  /** Identifies this try; used for one claim only. */
  readonly attemptId: string;
  /** Hash of the request, by which a reused key is told from a repeat. */
  readonly fingerprint: string;
}

/** What a request that asked for its key may do. */
export type ClaimVerdict =
  'granted' | 'held' | 'done' | 'not-run' | 'unknown' | 'fingerprint-mismatch' | 'unavailable';

/** Answer to a `ClaimRequest`. */
export interface ClaimAnswer {
  readonly verdict: ClaimVerdict;
  /** Answer of the request, where it ran and its answer is kept. */
  readonly answer?: StoredAnswer;
  /** Whether it is known that the key's request never ran, and never will under this key. */
  readonly isKnownNotRun: boolean;
}

/** What the verdict on a claim is drawn from. */
export interface ClaimView {
  /** Claim that holds the key; undefined where none is known. */
  readonly claim: KeptClaim | undefined;
  /** Whether every record of the stream that still matters was read. */
  readonly isHistoryWhole: boolean;
  /** Instant by the log's clock before which claims are forgotten. */
  readonly forgottenBeforeMs: number;
  /** Process that asks. */
  readonly claimant: string;
  /** Whether the process that holds the key is known to run. */
  readonly isClaimantLive: boolean;
}

/** Time for which a granted claim may be used; see `isClaimFresh`. */
export const CLAIM_FRESH_MS = 5_000;

const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const UUID_V7_TIME_DIGITS = 12;
const HEXADECIMAL = 16;
/** Difference between the clocks of caller and log that still leaves a forgotten key recognised. */
const KEY_CLOCK_MARGIN_MS = 3_600_000;

const UNKNOWN: ClaimAnswer = {verdict: 'unknown', isKnownNotRun: false};

/**
 * Returns the verdict for a request; undefined where its key is free and may be claimed.
 * @param view - The claim that holds the key, and what is known of its history.
 * @param request - The request; granted where the claim is its own.
 */
export function decideClaim(view: ClaimView, request: ClaimRequest): ClaimAnswer | undefined {
  const {claim, isHistoryWhole} = view;
  if (claim?.outcome?.run === 'ran') return decideHeldKey(claim, view, request);
  if (!isHistoryWhole) return UNKNOWN;
  if (claim) return decideHeldKey(claim, view, request);
  return isKeyForgotten(request.key, view.forgottenBeforeMs) ? UNKNOWN : undefined;
}

/**
 * Returns the instant that a key carries; undefined where it is no UUID of version 7.
 * @param key - The idempotency key.
 */
export function getKeyTimeMs(key: string): number | undefined {
  if (!UUID_V7.test(key)) return undefined;
  return Number.parseInt(key.replaceAll('-', '').slice(0, UUID_V7_TIME_DIGITS), HEXADECIMAL);
}

function isKeyForgotten(key: string, forgottenBeforeMs: number): boolean {
  const keyTimeMs = getKeyTimeMs(key);
  return keyTimeMs !== undefined && keyTimeMs < forgottenBeforeMs + KEY_CLOCK_MARGIN_MS;
}

function decideHeldKey(
  claim: KeptClaim,
  {claimant, isClaimantLive, forgottenBeforeMs}: ClaimView,
  request: ClaimRequest,
): ClaimAnswer {
  if (claim.fingerprint !== request.fingerprint) {
    return {verdict: 'fingerprint-mismatch', isKnownNotRun: true};
  }
  switch (claim.outcome?.run) {
    case 'ran':
      return {verdict: 'done', answer: claim.outcome.answer, isKnownNotRun: false};
    case 'not-run':
      return {verdict: 'not-run', isKnownNotRun: true};
    case 'unknown':
      return UNKNOWN;
    default:
      break;
  }
  if (claim.attemptId === request.attemptId && claim.claimant === claimant) {
    if (isKeyForgotten(request.key, forgottenBeforeMs)) return UNKNOWN;
    return {verdict: 'granted', isKnownNotRun: false};
  }
  return {verdict: isClaimantLive ? 'held' : 'unknown', isKnownNotRun: false};
}

/**
 * Returns whether a granted claim may still be used to send its request; checked right before sending.
 * A pause between this check and the send is harmless, since no other attempt ever gets the key.
 * @param grantedAtMs - Instant at which the claim was granted, on the monotonic clock of `nowMs`.
 * @param nowMs - Present time.
 */
export function isClaimFresh(grantedAtMs: number, nowMs: number): boolean {
  return nowMs - grantedAtMs <= CLAIM_FRESH_MS;
}
