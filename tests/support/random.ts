/** A seeded pseudo-random number generator, so that failing tests can be repeated. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const RESOLUTION = 1_000_000;

/** Returns a function that draws numbers in [0, 1), in the same order for the same seed. */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformInt(generator, 0, RESOLUTION - 1) / RESOLUTION;
}
