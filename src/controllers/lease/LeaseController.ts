/** Decides when a daemon claims, renews and releases the lease, and until when it may act as its holder. */
import type {LeaseState} from '../../folds/index.js';

/** Times of the lease. */
export interface LeaseTiming {
  /** Time for which a claim or renewal holds, from the instant it was sent. */
  readonly termMs: number;
  /** What a candidate waits beyond the term; covers clocks that run at different rates. */
  readonly marginMs: number;
  /** This candidate's part of the wait, drawn at random so that candidates don't all claim at once. */
  readonly claimDelayMs: number;
}

/** What a daemon knows about the lease. Instants are of its own monotonic clock. */
export interface LeaseView {
  /** Incarnation of the daemon; never used again after a restart. */
  readonly candidate: string;
  readonly timing: LeaseTiming;
  readonly lease: LeaseState;
  /** Whether the fold covers the whole stream up to a recent end. */
  readonly isHistoryKnown: boolean;
  /** Instant at which the newest lease record was read; at first the instant of the start. */
  readonly newestReadAtMs: number;
  /** Instant at which the newest own claim or renewal that was read back as holding was first sent. */
  readonly confirmedSentAtMs: number | undefined;
  readonly isProposalOpen: boolean;
  readonly isStopping: boolean;
}

/** Until when the daemon is the holder. */
export interface LeaseChanges {
  readonly isHeld: boolean;
  /** End of the holder's right to act; undefined for others. */
  readonly heldUntilMs: number | undefined;
}

/** A lease record to propose. */
export type LeaseEffect =
  | {readonly kind: 'propose-claim'; readonly followsOffset: number}
  | {readonly kind: 'propose-renewal'; readonly claimOffset: number}
  | {readonly kind: 'propose-release'; readonly claimOffset: number};

/** What to change and do about the lease. */
export interface LeaseDecision {
  readonly changes: LeaseChanges;
  readonly effects: readonly LeaseEffect[];
}

/** A holder renews this often within a term. */
const RENEWALS_PER_TERM = 3;

/**
 * Decides what a daemon proposes about the lease.
 * @param view - What it knows.
 * @param nowMs - Present time on its monotonic clock.
 */
export function decideLease(view: LeaseView, nowMs: number): LeaseDecision {
  const heldUntilMs = getHeldUntilMs(view);
  const isHeld = heldUntilMs !== undefined && nowMs < heldUntilMs;
  return {changes: {isHeld, heldUntilMs}, effects: getEffects(view, nowMs)};
}

/**
 * Returns the end of a daemon's right to act as the holder; undefined where the lease is another's or not confirmed.
 * @param view - What it knows.
 */
export function getHeldUntilMs(view: LeaseView): number | undefined {
  const {candidate, lease, confirmedSentAtMs} = view;
  if (lease.holder !== candidate || confirmedSentAtMs === undefined) return undefined;
  return confirmedSentAtMs + lease.termMs;
}

function getEffects(view: LeaseView, nowMs: number): readonly LeaseEffect[] {
  if (view.isProposalOpen || !view.isHistoryKnown) return [];
  const {lease, candidate, isStopping} = view;
  if (lease.holder === candidate) return getHolderEffects(view, nowMs);
  if (isStopping || nowMs < getClaimableAtMs(view)) return [];
  return [{kind: 'propose-claim', followsOffset: lease.newestOffset}];
}

function getHolderEffects(view: LeaseView, nowMs: number): readonly LeaseEffect[] {
  const {lease, isStopping, confirmedSentAtMs} = view;
  const claimOffset = lease.fencingToken;
  if (isStopping) return [{kind: 'propose-release', claimOffset}];
  const renewAtMs = (confirmedSentAtMs ?? 0) + lease.termMs / RENEWALS_PER_TERM;
  return nowMs < renewAtMs ? [] : [{kind: 'propose-renewal', claimOffset}];
}

/** A term is counted from the reading of the last renewal, which can't be earlier than its sending. */
function getClaimableAtMs({lease, timing, newestReadAtMs}: LeaseView): number {
  const vacantAtMs =
    lease.holder === undefined ? newestReadAtMs : newestReadAtMs + lease.termMs + timing.marginMs;
  return vacantAtMs + timing.claimDelayMs;
}
