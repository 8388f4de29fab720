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
  /** Claim that holds the key. */
  readonly claim: KeptClaim;
  /** Whether the claimant's process is known to run. */
  readonly isClaimantLive: boolean;
}

/** Time for which a granted claim may be used; see `isClaimFresh`. */
export const CLAIM_FRESH_MS = 5_000;

/**
 * Returns the verdict for a request whose key is held.
 * @param view - The claim that holds the key.
 * @param request - The request; granted where the claim is its own.
 */
export function decideClaim(
  {claim, isClaimantLive}: ClaimView,
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
      return {verdict: 'unknown', isKnownNotRun: false};
    default:
      break;
  }
  if (claim.attemptId === request.attemptId) return {verdict: 'granted', isKnownNotRun: false};
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
