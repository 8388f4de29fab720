/** Rendezvous hashing: all processes rank the same candidates for a key identically, without coordination. */
import xxhash from 'xxhash-wasm';

const {h64, h64Raw} = await xxhash();

/** Returns the 64-bit xxHash of a string; unlike a seeded hash, it is the same in every process. */
export function hashText(text: string): bigint {
  return h64(text);
}

/** Returns the 64-bit xxHash of bytes. */
export function hashBytes(bytes: Uint8Array): bigint {
  return h64Raw(bytes);
}

/**
 * Returns the candidates in the order of preference for a key. Adding or removing a candidate doesn't reorder the rest.
 * @param key - Id of the item to be placed, such as a workspace name.
 * @param candidates - Possible places, such as backend servers.
 * @param getCandidateId - Returns the unique id by which a candidate is hashed.
 */
export function rankByRendezvous<Candidate>(
  key: string,
  candidates: readonly Candidate[],
  getCandidateId: (candidate: Candidate) => string,
): readonly Candidate[] {
  return candidates
    .map(candidate => ({candidate, score: hashText(`${key}\n${getCandidateId(candidate)}`)}))
    .sort((a, b) => (a.score === b.score ? 0 : a.score > b.score ? -1 : 1))
    .map(({candidate}) => candidate);
}
