/** Latency baseline of a route on lightly loaded servers: the prediction for requests that have no other one. */

/** Latency baseline of one route. */
export interface BaselineLatencyState {
  /** Moving average of the response time. */
  readonly meanMs: number;
  /** Samples from lightly loaded servers so far; 0 while the mean comes from loaded servers only. */
  readonly lightSamples: number;
}

/** Latency of one response of a route. */
export interface BaselineLatencySample {
  /** Measured response time. */
  readonly observedMs: number;
  /** Fraction of the server's request slots that other requests had in use, from 0 to 1. */
  readonly utilisation: number;
}

/** Highest utilisation at which the response time depends on the route and not on the load. */
const MAX_LIGHT_UTILISATION = 0.25;
/** Weight of the newest sample in the mean; the first samples have the weight of an arithmetic mean. */
const SAMPLE_WEIGHT = 0.05;
/** Samples are capped at this multiple of the mean before they are averaged. */
const MAX_SAMPLE_FACTOR = 4;

/**
 * Returns whether a server's load is too low to affect its response times.
 * @param utilisation - Fraction of the server's request slots in use, from 0 to 1.
 */
export function isLightlyLoaded(utilisation: number): boolean {
  return utilisation <= MAX_LIGHT_UTILISATION;
}

/**
 * Returns the state after a response. Samples under load are used only until the first one without load, so that a
 * lasting overload doesn't become the baseline. A route that has really become slower is still learned: its latency
 * lowers the concurrency limit, which makes the load light again.
 * @param state - Previous state; undefined before the first response.
 */
export function updateBaselineLatency(
  state: BaselineLatencyState | undefined,
  {observedMs, utilisation}: BaselineLatencySample,
): BaselineLatencyState {
  const isLight = isLightlyLoaded(utilisation);
  const {meanMs, lightSamples} = state ?? {meanMs: observedMs, lightSamples: 0};
  if (!isLight && lightSamples > 0) return {meanMs, lightSamples};
  if (!isLight) return {meanMs: meanMs + SAMPLE_WEIGHT * (observedMs - meanMs), lightSamples: 0};
  const weight = Math.max(SAMPLE_WEIGHT, 1 / (lightSamples + 1));
  const cappedMs = lightSamples > 0 ? Math.min(observedMs, meanMs * MAX_SAMPLE_FACTOR) : observedMs;
  return {meanMs: meanMs + weight * (cappedMs - meanMs), lightSamples: lightSamples + 1};
}
