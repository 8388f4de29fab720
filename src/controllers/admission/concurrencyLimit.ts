/** Adapts how many requests this entry has open at a backend server, by the gradient of its latency. */

/** Limit of one backend server and what it was learned from. */
export interface ConcurrencyLimitState {
  readonly limit: number;
  /** Long-term mean of first-token time against its prediction. */
  readonly usualRatio: number;
}

/** One answered try. */
export interface LatencySample {
  readonly expectedMs: number;
  readonly observedMs: number;
  /** Requests that were open when the answer began. */
  readonly openRequests: number;
}

/** Bounds of the limit. */
export interface ConcurrencyBounds {
  readonly minLimit: number;
  readonly maxLimit: number;
}

const MIN_GRADIENT = 0.5;
const MAX_GRADIENT = 1;
/** Ratio above the usual one that counts as noise. */
const TOLERANCE = 1.5;
/** The usual ratio rises slowly, so that an overload doesn't become usual. */
const RISING_RATIO_WEIGHT = 0.005;
const FALLING_RATIO_WEIGHT = 0.1;
/** Largest multiple of the usual ratio that a sample counts with. */
const MAX_RATIO_STEP = 2;
const SMOOTHING = 0.2;
/** Part of the limit that must be in use for a sample to raise it. */
const MIN_UTILISATION = 0.5;
/** Added to both times, so that a few milliseconds on a short prediction are no sign of overload. */
const SLACK_MS = 100;
/** A server that keeps to its prediction is not overloaded, however fast it was before. */
const MIN_USUAL_RATIO = 1;

/**
 * Returns the state before any sample: the highest limit, which the first slow answers lower.
 * @param bounds - Bounds of the limit.
 */
export function createConcurrencyLimit({maxLimit}: ConcurrencyBounds): ConcurrencyLimitState {
  return {limit: maxLimit, usualRatio: 1};
}

/**
 * Returns the state after an answer. The limit falls while first tokens come later than usual for their prediction.
 * While the limit is in use, the square root of itself is added at each answer: it rises while answers come in time, and an
 * overload settles at a few requests instead of one, from where it finds its way up again.
 * @param state - State before it.
 * @param sample - The answer.
 * @param bounds - Bounds of the limit.
 */
export function updateConcurrencyLimit(
  state: ConcurrencyLimitState,
  sample: LatencySample,
  {minLimit, maxLimit}: ConcurrencyBounds,
): ConcurrencyLimitState {
  const ratio = (sample.observedMs + SLACK_MS) / (sample.expectedMs + SLACK_MS);
  const weight = ratio > state.usualRatio ? RISING_RATIO_WEIGHT : FALLING_RATIO_WEIGHT;
  const learnedRatio = Math.min(ratio, state.usualRatio * MAX_RATIO_STEP);
  const usualRatio = Math.max(
    MIN_USUAL_RATIO,
    state.usualRatio + weight * (learnedRatio - state.usualRatio),
  );
  const gradient = clamp((TOLERANCE * state.usualRatio) / ratio, MIN_GRADIENT, MAX_GRADIENT);
  const isInUse = sample.openRequests >= state.limit * MIN_UTILISATION;
  const target = state.limit * gradient + (isInUse ? Math.sqrt(state.limit) : 0);
  const limit = state.limit + SMOOTHING * (target - state.limit);
  return {limit: clamp(limit, minLimit, maxLimit), usualRatio};
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
