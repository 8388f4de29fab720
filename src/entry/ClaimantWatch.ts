/** Determines from membership whether the process that claimed an idempotency key is still running. */
import type {Member} from '../blackboard/index.js';

/** Separates the instance id from the incarnation in a claimant's name. */
const INCARNATION_SEPARATOR = '/';
/** A claimant that is unknown to membership counts as running for this long, since it may have just started. */
const UNKNOWN_CLAIMANT_GRACE_MS = 5_000;
/** Beyond this the table is cleared, which restarts the grace time of all unknown claimants. */
const MAX_UNKNOWN_CLAIMANTS = 1_000;

/**
 * Returns the name under which a process writes claims to the log.
 * @param instanceId - Id of the process's instance.
 * @param incarnation - Id that is unique for each start of the process.
 */
export function createClaimant(instanceId: string, incarnation: string): string {
  return `${instanceId}${INCARNATION_SEPARATOR}${incarnation}`;
}

/** Looks up claimants among the members; one that isn't a member counts as running for a grace time of 5 s. */
export class ClaimantWatch {
  private readonly unknownSinceMs = new Map<string, number>();

  /**
   * Returns whether a claimant may still send its request.
   * @param claimant - Name from `createClaimant`.
   * @param members - Current members, including this entry.
   * @param nowMs - Current time in milliseconds of a clock that never goes back.
   */
  isLive(claimant: string, members: readonly Member[], nowMs: number): boolean {
    const [instanceId] = claimant.split(INCARNATION_SEPARATOR);
    const member = members.find(candidate => candidate.instanceId === instanceId);
    if (member) return member.state !== 'dead';
    const sinceMs = this.unknownSinceMs.get(claimant) ?? this.addUnknown(claimant, nowMs);
    return nowMs - sinceMs < UNKNOWN_CLAIMANT_GRACE_MS;
  }

  private addUnknown(claimant: string, nowMs: number): number {
    if (this.unknownSinceMs.size >= MAX_UNKNOWN_CLAIMANTS) this.unknownSinceMs.clear();
    this.unknownSinceMs.set(claimant, nowMs);
    return nowMs;
  }
}
