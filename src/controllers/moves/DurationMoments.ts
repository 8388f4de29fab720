/** Sums of the logarithms of durations, from which means and variances are computed. */
import type {DurationMoments} from '../../blackboard/index.js';

/** Shorter durations are recorded as this one, since the logarithm of 0 isn't finite. */
const MIN_DURATION_MS = 0.1;

/** No durations. */
export const NO_DURATIONS: DurationMoments = {count: 0, sumLogMs: 0, sumSquaredLogMs: 0};

/** Adds a duration, if there is one. */
export function addDuration(
  moments: DurationMoments,
  durationMs: number | undefined,
): DurationMoments {
  if (durationMs === undefined) return moments;
  const logMs = Math.log(Math.max(durationMs, MIN_DURATION_MS));
  return {
    count: moments.count + 1,
    sumLogMs: moments.sumLogMs + logMs,
    sumSquaredLogMs: moments.sumSquaredLogMs + logMs * logMs,
  };
}

/** Adds the durations of two sets. */
export function addMoments(one: DurationMoments, other: DurationMoments): DurationMoments {
  return {
    count: one.count + other.count,
    sumLogMs: one.sumLogMs + other.sumLogMs,
    sumSquaredLogMs: one.sumSquaredLogMs + other.sumSquaredLogMs,
  };
}
