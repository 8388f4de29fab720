/** Random numbers from a seed. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const STEPS = 1_000_000;

/**
 * Returns a function that gives numbers from 0 up to 1, the same for the same seed.
 * @param seed - The seed.
 */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformInt(generator, 0, STEPS - 1) / STEPS;
}
