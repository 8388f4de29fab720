/** Stall timeouts: how long a connection may deliver no data before its attempt is considered stalled. */

/** Latency prediction and targets from which the timeouts are derived. */
export interface StallTimeoutInput {
  /** Predicted time from sending the attempt to its first token. */
  readonly expectedFirstTokenMs: number;
  /** Target of the request's class for the time to the first token. */
  readonly firstTokenTargetMs: number;
  /** Target of the request's class for the time between two tokens. */
  readonly interTokenTargetMs: number;
  /** Earlier attempts of the same request that stalled. */
  readonly earlierStalls: number;
}

/** Longest time without data before the first token and between two tokens. */
export interface StallTimeouts {
  readonly firstTokenMs: number;
  readonly interTokenMs: number;
}

/** Factor on the prediction; the target is added to the product. */
const FIRST_TOKEN_PREDICTION_FACTOR = 3;
/** Multiple of the target after which a missing token is a stall, but not before the minimum. */
const INTER_TOKEN_TARGET_FACTOR = 20;
const MIN_INTER_TOKEN_MS = 1_000;

/**
 * Returns the stall timeouts of an attempt. They double with each stalled attempt of the request, so that on slow
 * backend servers the response completes late instead of never.
 */
export function getStallTimeouts(view: StallTimeoutInput): StallTimeouts {
  const {expectedFirstTokenMs, firstTokenTargetMs, interTokenTargetMs, earlierStalls} = view;
  const factor = 2 ** earlierStalls;
  const predictedMs = expectedFirstTokenMs * FIRST_TOKEN_PREDICTION_FACTOR;
  const interTokenMs = Math.max(MIN_INTER_TOKEN_MS, interTokenTargetMs * INTER_TOKEN_TARGET_FACTOR);
  return {
    firstTokenMs: factor * (firstTokenTargetMs + predictedMs),
    interTokenMs: factor * interTokenMs,
  };
}
