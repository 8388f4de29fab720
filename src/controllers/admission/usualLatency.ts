/** Learns how long the answers of a route take where servers have little to do: the prediction for calls without one. */

/** What was learned of a route. */
export interface UsualLatencyState {
  readonly meanMs: number;
  /** Answers of lightly used servers that it was learned from. */
  readonly lightAnswers: number;
}

/** One answer of a route. */
export interface UsualLatencySample {
  readonly observedMs: number;
  /** Part of its places that the server had in use, from 0 to 1. */
  readonly usedPart: number;
}

/** Largest part in use at which an answer shows the route and not the load. */
const LIGHT_USED_PART = 0.25;
const SAMPLE_WEIGHT = 0.05;
/** Largest multiple of the mean that an answer counts with. */
const MAX_STEP = 4;

/**
 * Returns whether an answer shows the route and not the load.
 * @param usedPart - Part of its places that the server had in use, from 0 to 1.
 */
export function isLightUse(usedPart: number): boolean {
  return usedPart <= LIGHT_USED_PART;
}

/**
 * Returns the state after an answer. Answers under load count only until there is one without: a lasting overload never
 * becomes usual, and where the limit has fallen, use is light again and a route that has changed is learned anew.
 * @param state - State before it; undefined before the first answer.
 * @param sample - The answer.
 */
export function updateUsualLatency(
  state: UsualLatencyState | undefined,
  {observedMs, usedPart}: UsualLatencySample,
): UsualLatencyState {
  const isLight = isLightUse(usedPart);
  const {meanMs, lightAnswers} = state ?? {meanMs: observedMs, lightAnswers: 0};
  if (!isLight && lightAnswers > 0) return {meanMs, lightAnswers};
  if (!isLight) return {meanMs: meanMs + SAMPLE_WEIGHT * (observedMs - meanMs), lightAnswers: 0};
  const weight = Math.max(SAMPLE_WEIGHT, 1 / (lightAnswers + 1));
  const learnedMs = lightAnswers > 0 ? Math.min(observedMs, meanMs * MAX_STEP) : observedMs;
  return {meanMs: meanMs + weight * (learnedMs - meanMs), lightAnswers: lightAnswers + 1};
}
