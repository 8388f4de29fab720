/** Names the processes that claim, and tells whether one still runs. */
import type {Member} from '../../blackboard/index.js';

const SEPARATOR = '@';
/** Refutations by which a process's incarnation may grow. */
const MAX_REFUTATIONS = 500;

/**
 * Returns the name under which a process claims and writes.
 * @param instanceId - Its instance.
 * @param incarnation - Its first incarnation, in milliseconds of the wall clock at its start.
 */
export function formatClaimant(instanceId: string, incarnation: number): string {
  return `${instanceId}${SEPARATOR}${incarnation}`;
}

/**
 * Returns whether a claimant's process is a member that isn't dead; a later process of its instance is another one.
 * @param claimant - The claimant.
 * @param members - The entries.
 */
export function isClaimantMember(claimant: string, members: readonly Member[]): boolean {
  const end = claimant.lastIndexOf(SEPARATOR);
  const incarnation = Number(claimant.slice(end + 1));
  const member = members.find(({instanceId}) => instanceId === claimant.slice(0, end));
  if (!member || member.state === 'dead') return false;
  return Math.abs(member.incarnation - incarnation) <= MAX_REFUTATIONS;
}
