/** Rendezvous hashing: every process ranks the same candidates for a key in the same order, with no agreement. */
import xxhash from 'xxhash-wasm';

const {h64} = await xxhash();

/** Returns a 64-bit hash of a text, the same in every process. */
export function hashText(text: string): bigint {
  return h64(text);
}

/**
 * Returns candidates in the order in which a key prefers them. Adding or removing one leaves the order of the others.
 * @param key - What is placed, such as a workspace.
 * @param candidates - What it is placed on.
 * @param getId - Returns the id that stands for a candidate in the hash.
 */
export function rankByRendezvous<Candidate>(
  key: string,
  candidates: readonly Candidate[],
  getId: (candidate: Candidate) => string,
): readonly Candidate[] {
  return candidates
    .map(candidate => ({candidate, score: hashText(`${key}\n${getId(candidate)}`)}))
    .sort((a, b) => (a.score === b.score ? 0 : a.score > b.score ? -1 : 1))
    .map(({candidate}) => candidate);
}
