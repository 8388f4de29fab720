/** Tells whether the process that holds a claim still runs. */
import type {Member} from '../blackboard/index.js';

/** Parts the instance from the incarnation in the name of a claimant. */
const INCARNATION_MARK = '/';
/** Time in which membership hears of an entry that has just started. */
const UNKNOWN_GRACE_MS = 5_000;
const MAX_UNKNOWN_CLAIMANTS = 1_000;

/**
 * Returns the name of a claimant.
 * @param instanceId - Its instance.
 * @param incarnation - New at each start of the process.
 */
export function createClaimant(instanceId: string, incarnation: string): string {
  return `${instanceId}${INCARNATION_MARK}${incarnation}`;
}

/** Asks membership about claimants; one that it doesn't know counts as running for a while. */
export class ClaimantWatch {
  private readonly unknownSinceMs = new Map<string, number>();

  /**
   * Returns whether a claimant may still send its request.
   * @param claimant - Its name.
   * @param members - The entries known now.
   * @param nowMs - Present time.
   */
  isLive(claimant: string, members: readonly Member[], nowMs: number): boolean {
    const [instanceId] = claimant.split(INCARNATION_MARK);
    const member = members.find(candidate => candidate.instanceId === instanceId);
    if (member) return member.state !== 'dead';
    const sinceMs = this.unknownSinceMs.get(claimant) ?? this.addUnknown(claimant, nowMs);
    return nowMs - sinceMs < UNKNOWN_GRACE_MS;
  }

  private addUnknown(claimant: string, nowMs: number): number {
    if (this.unknownSinceMs.size >= MAX_UNKNOWN_CLAIMANTS) this.unknownSinceMs.clear();
    this.unknownSinceMs.set(claimant, nowMs);
    return nowMs;
  }
}
