/** Decides when a gateway claims the duties that one process at a time performs, and from when on it may act. */
import type {DutyClaim} from '../../gossip/index.js';

/** What the decision depends on. Instants are monotonic. */
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
 * Returns whether a gateway claims the duties now.
 * @param view - What it knows.
 * @param nowMs - Present time.
 */
export function shouldClaimDuty(view: DutyView, nowMs: number): boolean {
  const {ownId, claim, candidateIds, isAble, holderSilentSinceMs, startedAtMs} = view;
  if (!isAble || claim.holderId === ownId) return false;
  if (nowMs - startedAtMs < LISTEN_MS) return false;
  if (holderSilentSinceMs === undefined) return false;
  const rank = [...candidateIds].sort().indexOf(ownId);
  if (rank < 0) return false;
  return nowMs - holderSilentSinceMs >= HOLDER_SILENCE_MS + rank * CANDIDATE_DELAY_MS;
}

/**
 * Returns the instant from which a holder may act: after the time in which an earlier holder may have acted, so that no
 * two holders act in turns.
 * @param previous - The newest claim before its own; token 0 for none.
 * @param leaseMs - That time.
 * @param claimedAtMs - Instant at which its claim was confirmed.
 */
export function getFirstActMs(previous: DutyClaim, leaseMs: number, claimedAtMs: number): number {
  return previous.token === 0 ? claimedAtMs : claimedAtMs + leaseMs;
}
