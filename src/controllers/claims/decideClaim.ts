/** Decides from the claim on an idempotency key whether a request with that key may run. */
import type {KeptClaim} from '../../folds/index.js';
import type {StoredResponse} from '../../records/index.js';

/** A request that may run at most once and claims its idempotency key. */
export interface ClaimRequest {
  readonly workspace: string;
  readonly key: string;
  /** Identifies this attempt; used for one claim only. */
  readonly attemptId: string;
  /** Hash of the request; distinguishes a retry from another request that reuses the key. */
  readonly fingerprint: string;
}

/**
 * Result of a claim:
 *
 * - `granted`: the request may run.
 * - `held`: another attempt holds the key and may still be running.
 * - `done`: the request ran, and its response is known.
 * - `not-run`: an earlier attempt with this key is known not to have run.
 * - `unknown`: it can't be determined whether the request ran.
 * - `fingerprint-mismatch`: the key was used by a different request.
 * - `unavailable`: the claim couldn't be made.
 */
export type ClaimVerdict =
  'granted' | 'held' | 'done' | 'not-run' | 'unknown' | 'fingerprint-mismatch' | 'unavailable';

/** Response to a `ClaimRequest`. */
export interface ClaimAnswer {
  readonly verdict: ClaimVerdict;
  /** Stored response of the request; present if it ran and its response was kept. */
  readonly answer?: StoredResponse;
  /** Whether it is certain that the request has not run and will not run under this key. */
  readonly isKnownNotRun: boolean;
}

/** Input of `decideClaim`. */
export interface ClaimView {
  /** Claim that holds the key; undefined if none is known. */
  readonly claim: KeptClaim | undefined;
  /** Whether all records of the claims stream that can contain a claim that is still kept have been read. */
  readonly isHistoryComplete: boolean;
  /** Time by the log's clock, in Unix milliseconds, before which claims are no longer kept. */
  readonly keptFromMs: number;
  /** Process that makes the request. */
  readonly claimant: string;
  /** Whether the process that holds the key is known to be running. */
  readonly isClaimantLive: boolean;
}

/** Time within which the request of a granted claim must be sent; see `isClaimFresh`. */
export const CLAIM_FRESH_MS = 5_000;

const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const UUID_V7_TIME_DIGITS = 12;
const HEXADECIMAL = 16;
/** Largest clock difference between caller and log at which a key whose claim is no longer kept is still recognized. */
const KEY_CLOCK_MARGIN_MS = 3_600_000;

const UNKNOWN: ClaimAnswer = {verdict: 'unknown', isKnownNotRun: false};

/**
 * Returns the result for a request; undefined if its key is free and may be claimed.
 *
 * A key of UUID version 7 contains its creation time. If that is so old that a claim on the key would no longer be
 * kept, the result is `unknown` instead of a new claim, as the request may have run long ago.
 * @param view - The claim that holds the key, and whether the claims stream was read completely.
 * @param request - The request; `granted` if it made the claim itself.
 */
export function decideClaim(view: ClaimView, request: ClaimRequest): ClaimAnswer | undefined {
  const {claim, isHistoryComplete} = view;
  if (claim?.outcome?.run === 'ran') return decideHeldKey(claim, view, request);
  if (!isHistoryComplete) return UNKNOWN;
  if (claim) return decideHeldKey(claim, view, request);
  return isKeyForgotten(request.key, view.keptFromMs) ? UNKNOWN : undefined;
}

/** Returns the Unix time in milliseconds that a UUID of version 7 contains; undefined for any other key. */
export function getKeyTimeMs(key: string): number | undefined {
  if (!UUID_V7.test(key)) return undefined;
  return Number.parseInt(key.replaceAll('-', '').slice(0, UUID_V7_TIME_DIGITS), HEXADECIMAL);
}

function isKeyForgotten(key: string, keptFromMs: number): boolean {
  const keyTimeMs = getKeyTimeMs(key);
  return keyTimeMs !== undefined && keyTimeMs < keptFromMs + KEY_CLOCK_MARGIN_MS;
}

function decideHeldKey(
  claim: KeptClaim,
  {claimant, isClaimantLive, keptFromMs}: ClaimView,
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
    if (isKeyForgotten(request.key, keptFromMs)) return UNKNOWN;
    return {verdict: 'granted', isKnownNotRun: false};
  }
  return {verdict: isClaimantLive ? 'held' : 'unknown', isKnownNotRun: false};
}

/**
 * Returns whether a granted claim may still be used to send its request; checked right before sending.
 * A pause between this check and the send is harmless, since no other attempt ever gets the key.
 * @param grantedAtMs - Monotonic time in milliseconds at which the claim was granted.
 * @param nowMs - Current time by the same clock.
 */
export function isClaimFresh(grantedAtMs: number, nowMs: number): boolean {
  return nowMs - grantedAtMs <= CLAIM_FRESH_MS;
}
