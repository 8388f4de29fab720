/** Random numbers from a seed. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const RANGE = 0x1_0000_0000;

/** Returns a function that gives numbers from 0 up to 1, alike for the same seed. */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / RANGE;
}
