/** Seeded pseudo-random numbers for reproducible runs. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const UINT32_RANGE = 2 ** 32;
/** Outputs discarded after seeding, because the first ones hardly depend on the seed. */
const SKIPPED_NUMBERS = 20;

/** Returns a generator of uniform numbers from 0 (inclusive) to 1 (exclusive), which is determined by the seed. */
export function createSeededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  for (let skipped = 0; skipped < SKIPPED_NUMBERS; skipped++) generator.next();
  return () => (generator.next() >>> 0) / UINT32_RANGE;
}
