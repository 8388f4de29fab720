/** Decides when a gateway claims the duties that one process at a time performs, and from when on it may act. */
import type {DutyClaim} from '../../gossip/index.js';

/** What the decision depends on, for a gateway that doesn't hold the duties. Instants are monotonic. */
export interface DutyView {
  readonly ownId: string;
  /** Newest claim that is known; token 0 for none. */
  readonly claim: DutyClaim;
  /** Ready gateways that are heard and this one, in any order. */
  readonly candidateIds: readonly string[];
  /** Whether this gateway can claim: it reaches the store and isn't stopping. */
  readonly isAble: boolean;
  /** Instant since which the holder hasn't been heard; undefined while it is heard. */
  readonly holderSilentSinceMs: number | undefined;
  readonly startedAtMs: number;
}

/** Silence after which the holder's duties are claimed by the first candidate. */
const HOLDER_SILENCE_MS = 1_500;
/** Each further candidate waits this much longer. */
const CANDIDATE_DELAY_MS = 1_000;
/** Time in which a process that has just started listens for a holder. */
const LISTEN_MS = 1_000;

/**
 * Returns whether a gateway claims the duties now. One that held them, before its restart or until its claim was in doubt,
 * claims them at once; others wait until the holder has been silent.
 * @param view - What it knows.
 * @param nowMs - Present time.
 */
export function shouldClaimDuty(view: DutyView, nowMs: number): boolean {
  const {ownId, claim, candidateIds, isAble, holderSilentSinceMs, startedAtMs} = view;
  if (!isAble) return false;
  if (claim.holderId === ownId) return true;
  if (nowMs - startedAtMs < LISTEN_MS) return false;
  if (holderSilentSinceMs === undefined) return false;
  const rank = [...candidateIds].sort().indexOf(ownId);
  if (rank < 0) return false;
  return nowMs - holderSilentSinceMs >= HOLDER_SILENCE_MS + rank * CANDIDATE_DELAY_MS;
}

/** A claim that has just been made. */
export interface NewClaim {
  readonly ownId: string;
  /** The newest claim before it; token 0 for none. */
  readonly previous: DutyClaim;
  /** Instant at which it was confirmed, monotonic. */
  readonly claimedAtMs: number;
}

/**
 * Returns the instant from which a holder may act: after the time in which another holder may have acted, so that no two
 * holders act in turns.
 * @param claim - The claim.
 * @param leaseMs - That time.
 */
export function getFirstActMs({ownId, previous, claimedAtMs}: NewClaim, leaseMs: number): number {
  const isOthers = previous.token !== 0 && previous.holderId !== ownId;
  return isOthers ? claimedAtMs + leaseMs : claimedAtMs;
}
