/** A day's load: quiet nights, two humps by day, and seeded noise. */
import {createSeededRandom} from '../../../src/utils/index.js';
import {DAY_MS} from './SeededMarket.js';

/** Length of a span in which the load stands still. */
export const SPAN_MS = 10_000;

const NIGHT_PART = 0.2;
const NOISE_PART = 0.05;
const NOISE_KEPT_PART = 0.95;
const HUMPS = [
  {hour: 10, widthHours: 2, part: 0.75},
  {hour: 15, widthHours: 2.5, part: 0.6},
];
const MS_PER_HOUR = 3_600_000;

/**
 * Returns the rate that is expected at an instant, in parts of the peak.
 * @param atMs - Instant of the day.
 */
export function getExpectedPart(atMs: number): number {
  const hour = atMs / MS_PER_HOUR;
  const humps = HUMPS.reduce(
    (sum, one) => sum + one.part * Math.exp(-(((hour - one.hour) / one.widthHours) ** 2)),
    0,
  );
  return Math.min(1, NIGHT_PART + humps);
}

/**
 * Returns the rate of each span of a day, in parts of the expected peak; noise may pass it.
 * @param seed - The seed.
 */
export function drawDayLoad(seed: number): readonly number[] {
  const random = createSeededRandom(seed);
  let noise = 0;
  return Array.from({length: DAY_MS / SPAN_MS}, (unused, index) => {
    noise = noise * NOISE_KEPT_PART + (random() - 0.5) * NOISE_PART;
    return Math.max(0, getExpectedPart(index * SPAN_MS) * (1 + noise));
  });
}
