/** Random numbers from a seed. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const RANGE = 0x1_0000_0000;
/** The generator's first numbers hardly depend on the seed. */
const SKIPPED_NUMBERS = 20;

/**
 * Returns a function that gives numbers from 0 up to 1, alike for the same seed.
 * @param seed - The seed.
 */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  for (let skipped = 0; skipped < SKIPPED_NUMBERS; skipped++) generator.next();
  return () => (generator.next() >>> 0) / RANGE;
}
