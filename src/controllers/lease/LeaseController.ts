/** Decides when a fleet daemon claims, renews and releases the lease, and until when it may act as the lease holder. */
import type {LeaseState} from '../../folds/index.js';

/** Lease term and the delays of a candidate. */
export interface LeaseTiming {
  /** Time for which a claim or renewal is valid, counted from when it was sent. */
  readonly termMs: number;
  /** Time that a candidate waits beyond the term, since the clocks of holder and candidate run at different rates. */
  readonly marginMs: number;
  /** Additional delay of this candidate, drawn at random so that candidates don't all claim at once. */
  readonly claimDelayMs: number;
}

/** Input of `decideLease`. All times are by the daemon's own monotonic clock. */
export interface LeaseView {
  /** Incarnation of the daemon, under which it holds the lease; a restarted daemon has a new one. */
  readonly candidate: string;
  readonly timing: LeaseTiming;
  readonly lease: LeaseState;
  /** Whether the fold is complete and reached the end of the stream within the last few terms. */
  readonly isHistoryComplete: boolean;
  /** Time at which the newest lease record was read; the daemon's start time until one has been read. */
  readonly newestReadAtMs: number;
  /**
   * Time at which the newest accepted claim or renewal of this daemon was first sent; undefined if the current claim is
   * not confirmed. A record counts as accepted only once it has been read back from the log.
   */
  readonly confirmedSentAtMs: number | undefined;
  /** Whether a lease record of this daemon has been proposed and its result is still pending. */
  readonly hasPendingProposal: boolean;
  readonly isStopping: boolean;
}

/** Whether, and until when, the daemon holds the lease. */
export interface LeaseChanges {
  readonly isHeld: boolean;
  /** Monotonic time until which the daemon may act as the holder; undefined if it isn't the confirmed holder. */
  readonly heldUntilMs: number | undefined;
}

/** A lease record to propose to the log; the offsets make the log reject it if the lease has changed since. */
export type LeaseEffect =
  | {readonly kind: 'propose-claim'; readonly followsOffset: number}
  | {readonly kind: 'propose-renewal'; readonly claimOffset: number}
  | {readonly kind: 'propose-release'; readonly claimOffset: number};

/** Result of `decideLease`. */
export interface LeaseDecision {
  readonly changes: LeaseChanges;
  readonly effects: readonly LeaseEffect[];
}

/** The holder renews the lease this many times per term. */
const RENEWALS_PER_TERM = 3;

/**
 * Decides whether a daemon holds the lease and which lease record it proposes now.
 * @param view - State of the lease as this daemon knows it.
 * @param nowMs - Time by its monotonic clock, in milliseconds.
 */
export function decideLease(view: LeaseView, nowMs: number): LeaseDecision {
  const heldUntilMs = getHeldUntilMs(view);
  const isHeld = heldUntilMs !== undefined && nowMs < heldUntilMs;
  return {changes: {isHeld, heldUntilMs}, effects: getEffects(view, nowMs)};
}

/** Returns the time until which a daemon may act as the holder; undefined if it isn't the holder or not confirmed. */
export function getHeldUntilMs(view: LeaseView): number | undefined {
  const {candidate, lease, confirmedSentAtMs} = view;
  if (lease.holder !== candidate || confirmedSentAtMs === undefined) return undefined;
  return confirmedSentAtMs + lease.termMs;
}

function getEffects(view: LeaseView, nowMs: number): readonly LeaseEffect[] {
  if (view.hasPendingProposal || !view.isHistoryComplete) return [];
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

/**
 * Returns the time from which a candidate may claim the lease. It counts the holder's term from when it read the last
 * renewal, which is never earlier than when the holder sent it.
 */
function getClaimableAtMs({lease, timing, newestReadAtMs}: LeaseView): number {
  const expiredAtMs =
    lease.holder === undefined ? newestReadAtMs : newestReadAtMs + lease.termMs + timing.marginMs;
  return expiredAtMs + timing.claimDelayMs;
}
