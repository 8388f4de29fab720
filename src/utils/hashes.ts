/** Hashes that all daemons compute alike: 64-bit xxHash as 16 hexadecimal digits. */
import createXxhash from 'xxhash-wasm';

const xxhash = await createXxhash();

/**
 * Returns the hash of a text.
 * @param text - What to hash.
 */
export function hashText(text: string): string {
  return xxhash.h64ToString(text);
}

/**
 * Returns the score of a member for a key; the member with the highest score ranks first.
 * @param key - What is placed.
 * @param member - Where it may be placed.
 */
export function getRendezvousScore(key: string, member: string): bigint {
  return xxhash.h64(`${key}\u0000${member}`);
}

/**
 * Ranks members for a key by rendezvous hash: a member that comes or goes moves no other pair.
 * @param key - What is placed.
 * @param members - Where it may be placed.
 */
export function rankByRendezvous(key: string, members: readonly string[]): readonly string[] {
  return members
    .map(member => ({member, score: getRendezvousScore(key, member)}))
    .sort((a, b) => compareScores(b.score, a.score) || a.member.localeCompare(b.member))
    .map(({member}) => member);
}

function compareScores(a: bigint, b: bigint): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
