/** Random numbers from a seed, so that a run can be repeated. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const UINT32_RANGE = 2 ** 32;
/** The generator's first numbers hardly depend on the seed. */
const SKIPPED_NUMBERS = 20;

/**
 * Returns a function that gives numbers from 0 up to 1, the same ones for the same seed.
 * @param seed - The seed.
 */
export function createSeededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  for (let skipped = 0; skipped < SKIPPED_NUMBERS; skipped++) generator.next();
  return () => (generator.next() >>> 0) / UINT32_RANGE;
}
