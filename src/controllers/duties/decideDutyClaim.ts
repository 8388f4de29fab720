/**
 * Elects the duty holder: decides when a gateway claims the duties that only one gateway at a time performs, and when
 * the new holder may start to perform them.
 */
import type {DutyClaim} from '../../gossip/index.js';

/** Input of `shouldClaimDuty`, for a gateway that doesn't hold the duties. All times are monotonic, in milliseconds. */
export interface DutyView {
  readonly ownId: string;
  /** Newest known claim; its token is 0 if there is none. */
  readonly claim: DutyClaim;
  /** This gateway and the ready gateways whose gossip is being received, in any order. */
  readonly candidateIds: readonly string[];
  /** Whether this gateway can claim: it reaches the store and isn't stopping. */
  readonly canClaim: boolean;
  /** Time since which no gossip of the duty holder has been received; undefined while it is being received. */
  readonly holderUnreachableSinceMs: number | undefined;
  readonly startedAtMs: number;
}

/** Time without gossip of the duty holder after which the first candidate claims the duties. */
const HOLDER_TIMEOUT_MS = 1_500;
/** Additional delay for each rank below the first candidate, so that candidates don't claim at the same time. */
const CANDIDATE_DELAY_MS = 1_000;
/** Time for which a gateway waits after its start for gossip of an existing duty holder. */
const STARTUP_DELAY_MS = 1_000;

/**
 * Returns whether a gateway claims the duties now.
 *
 * The gateway named by the newest claim claims again at once: it restarted, or gave the duties up because it couldn't
 * confirm its claim. The others wait until no gossip of the holder has arrived for a timeout that grows with their
 * rank.
 * @param view - Claim, candidates and state of this gateway.
 * @param nowMs - Monotonic time in milliseconds.
 */
export function shouldClaimDuty(view: DutyView, nowMs: number): boolean {
  const {ownId, claim, candidateIds, canClaim, holderUnreachableSinceMs, startedAtMs} = view;
  if (!canClaim) return false;
  if (claim.holderId === ownId) return true;
  if (nowMs - startedAtMs < STARTUP_DELAY_MS) return false;
  if (holderUnreachableSinceMs === undefined) return false;
  const rank = [...candidateIds].sort().indexOf(ownId);
  if (rank < 0) return false;
  return nowMs - holderUnreachableSinceMs >= HOLDER_TIMEOUT_MS + rank * CANDIDATE_DELAY_MS;
}

/** A claim that the store has just confirmed. */
export interface NewClaim {
  readonly ownId: string;
  /** The claim that it replaces; its token is 0 if there is none. */
  readonly previous: DutyClaim;
  /** Monotonic time of the confirmation in milliseconds. */
  readonly claimedAtMs: number;
}

/**
 * Returns the monotonic time in milliseconds from which a new holder may perform the duties. After another gateway's
 * claim this is once that gateway's lease has expired, so that two holders never act at the same time.
 * @param claim - The new claim.
 * @param leaseMs - Longest time for which the previous holder may still act.
 */
export function getActiveFromMs({ownId, previous, claimedAtMs}: NewClaim, leaseMs: number): number {
  const hasOtherHolder = previous.token !== 0 && previous.holderId !== ownId;
  return hasOtherHolder ? claimedAtMs + leaseMs : claimedAtMs;
}
