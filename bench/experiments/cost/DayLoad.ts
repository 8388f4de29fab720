/** Load curve of a day: a low base at night, two peaks by day, and seeded noise. */
import {createSeededRandom} from '../../../src/utils/index.js';
import {DAY_MS} from './SeededMarket.js';

/** Length in milliseconds of a span with constant load. */
export const SPAN_MS = 10_000;

const NIGHT_FRACTION = 0.2;
const NOISE_AMPLITUDE = 0.05;
const NOISE_PERSISTENCE = 0.95;
const PEAKS = [
  {hour: 10, widthHours: 2, part: 0.75},
  {hour: 15, widthHours: 2.5, part: 0.6},
];
const MS_PER_HOUR = 3_600_000;

/**
 * Returns the expected request rate as a fraction of the peak.
 * @param atMs - Time of day in milliseconds.
 */
export function getExpectedFraction(atMs: number): number {
  const hour = atMs / MS_PER_HOUR;
  const humps = PEAKS.reduce(
    (sum, one) => sum + one.part * Math.exp(-(((hour - one.hour) / one.widthHours) ** 2)),
    0,
  );
  return Math.min(1, NIGHT_FRACTION + humps);
}

/**
 * Returns the request rate of each span as a fraction of the expected peak; noise can raise it above 1.
 * @param seed - Seed of the noise, which is an autoregressive process.
 */
export function drawDayLoad(seed: number): readonly number[] {
  const random = createSeededRandom(seed);
  let noise = 0;
  return Array.from({length: DAY_MS / SPAN_MS}, (unused, index) => {
    noise = noise * NOISE_PERSISTENCE + (random() - 0.5) * NOISE_AMPLITUDE;
    return Math.max(0, getExpectedFraction(index * SPAN_MS) * (1 + noise));
  });
}
