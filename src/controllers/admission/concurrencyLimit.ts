/** Adaptive limit on the requests that this entry has open at a backend server, driven by the latency gradient. */

/** Concurrency limit of one backend server and the latency baseline behind it. */
export interface ConcurrencyLimitState {
  /** Requests that may be open at a time; not rounded. */
  readonly limit: number;
  /** Moving average of the ratio of the observed first-token time to the predicted one; at least 1. */
  readonly baselineRatio: number;
}

/** First-token latency of one attempt. */
export interface LatencySample {
  /** Predicted time to the first token. */
  readonly expectedMs: number;
  /** Measured time to the first token. */
  readonly observedMs: number;
  /** Requests that this entry had open at the server when the response began. */
  readonly openRequests: number;
}

/** Lowest and highest value of the limit. */
export interface ConcurrencyBounds {
  readonly minLimit: number;
  readonly maxLimit: number;
}

/** Bounds of the factor by which one response changes the target of the limit. */
const MIN_GRADIENT = 0.5;
const MAX_GRADIENT = 1;
/** Multiple of the baseline ratio up to which a higher latency is treated as noise. */
const RATIO_TOLERANCE = 1.5;
/** Weight of a sample above the baseline. It is small, so that an overload doesn't become the baseline. */
const RISING_RATIO_WEIGHT = 0.005;
/** Weight of a sample below the baseline. */
const FALLING_RATIO_WEIGHT = 0.1;
/** Samples are capped at this multiple of the baseline ratio before they are averaged. */
const MAX_SAMPLE_FACTOR = 2;
/** Weight of the newest target in the moving average that is the limit. */
const SMOOTHING = 0.2;
/** Fraction of the limit that must be in use for a sample to raise it. */
const MIN_UTILISATION = 0.5;
/** Added to both times of a ratio, so that a delay of a few milliseconds on a short prediction isn't an overload. */
const SLACK_MS = 100;
/** Floor of the baseline: a server that meets its prediction is not overloaded, however fast it was before. */
const MIN_BASELINE_RATIO = 1;

/** Returns the initial state. The limit starts at its maximum and is lowered by the first slow responses. */
export function createConcurrencyLimit({maxLimit}: ConcurrencyBounds): ConcurrencyLimitState {
  return {limit: maxLimit, baselineRatio: 1};
}

/**
 * Returns the state after a response. The limit falls while the ratio of observed to predicted first-token time exceeds
 * its baseline by more than the tolerance. While enough of the limit is in use, each response also adds the square root
 * of the limit to the target. The limit therefore rises while latency is normal, and in an overload it settles at a few
 * requests instead of one, so that there are still enough samples to recover from.
 */
export function updateConcurrencyLimit(
  state: ConcurrencyLimitState,
  sample: LatencySample,
  {minLimit, maxLimit}: ConcurrencyBounds,
): ConcurrencyLimitState {
  const ratio = (sample.observedMs + SLACK_MS) / (sample.expectedMs + SLACK_MS);
  const weight = ratio > state.baselineRatio ? RISING_RATIO_WEIGHT : FALLING_RATIO_WEIGHT;
  const cappedRatio = Math.min(ratio, state.baselineRatio * MAX_SAMPLE_FACTOR);
  const baselineRatio = Math.max(
    MIN_BASELINE_RATIO,
    state.baselineRatio + weight * (cappedRatio - state.baselineRatio),
  );
  const gradient = clamp(
    (RATIO_TOLERANCE * state.baselineRatio) / ratio,
    MIN_GRADIENT,
    MAX_GRADIENT,
  );
  const isUtilised = sample.openRequests >= state.limit * MIN_UTILISATION;
  const target = state.limit * gradient + (isUtilised ? Math.sqrt(state.limit) : 0);
  const limit = state.limit + SMOOTHING * (target - state.limit);
  return {limit: clamp(limit, minLimit, maxLimit), baselineRatio};
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
