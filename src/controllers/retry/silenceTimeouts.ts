/** How long a connection may say nothing before it is taken for silent. */

/** What the times depend on. */
export interface SilenceView {
  /** Expected time from sending the try to its first token. */
  readonly expectedFirstTokenMs: number;
  /** Targets of the request's class. */
  readonly firstTokenTargetMs: number;
  readonly interTokenTargetMs: number;
  /** Silent tries of the same request before this one. */
  readonly earlierSilences: number;
}

/** Longest silence before the first byte and between tokens. */
export interface SilenceTimeouts {
  readonly firstTokenMs: number;
  readonly interTokenMs: number;
}

const FIRST_TOKEN_PREDICTION_FACTOR = 3;
const INTER_TOKEN_TARGET_FACTOR = 20;
const MIN_INTER_TOKEN_MS = 1_000;

/**
 * Returns how long a try may be silent. Each silent try of a request doubles the time of the next, so that a slow
 * backend server ends an answer late and not never.
 * @param view - Prediction and targets.
 */
export function getSilenceTimeouts(view: SilenceView): SilenceTimeouts {
  const {expectedFirstTokenMs, firstTokenTargetMs, interTokenTargetMs, earlierSilences} = view;
  const factor = 2 ** earlierSilences;
  const predictedMs = expectedFirstTokenMs * FIRST_TOKEN_PREDICTION_FACTOR;
  const interTokenMs = Math.max(MIN_INTER_TOKEN_MS, interTokenTargetMs * INTER_TOKEN_TARGET_FACTOR);
  return {
    firstTokenMs: factor * (firstTokenTargetMs + predictedMs),
    interTokenMs: factor * interTokenMs,
  };
}
