/** Decides whether a gateway that is about to stop may still accept a request. */

/** A request that arrives at a stopping gateway. */
export interface StopAdmissionView {
  /** Monotonic time in milliseconds at which the gateway was asked to stop. */
  readonly stopBeganAtMs: number;
  /** Monotonic time in milliseconds at which the gateway ends all requests that are still open. */
  readonly stopsAtMs: number;
  /** Whether its response is sent while it is made, so that it can only be broken off at the stop. */
  readonly isStream: boolean;
  /** Time that requests of its route take at most, as far as is known; undefined if too few have been seen. */
  readonly longestExpectedMs: number | undefined;
  /** Time after which the request ends in any case: its deadline or the timeout of its route. */
  readonly maxWaitMs: number;
}

/** How long a stopping gateway accepts streams that may last longer than the gateway, but probably don't. */
const PREDICTED_STREAMS_MS = 2_500;

/**
 * Returns whether the request ends before the gateway stops. One that doesn't is better refused at once, when it
 * certainly hasn't run and its caller can still go to another gateway, than cut off at the end.
 *
 * What a route usually takes is a prediction: a request may last longer than all before it. At the stop a plain request
 * gets an error then, but a stream is broken off. So a stream that comes late is accepted only if its time limit ends
 * before the gateway does.
 * @param view - The request and the time of the stop.
 * @param nowMs - Monotonic time in milliseconds.
 */
export function canEndBeforeStop(view: StopAdmissionView, nowMs: number): boolean {
  const {stopBeganAtMs, stopsAtMs, isStream, longestExpectedMs = Infinity, maxWaitMs} = view;
  if (nowMs + maxWaitMs <= stopsAtMs) return true;
  if (isStream && nowMs >= stopBeganAtMs + PREDICTED_STREAMS_MS) return false;
  return nowMs + longestExpectedMs <= stopsAtMs;
}
