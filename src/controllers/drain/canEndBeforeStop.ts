/** Decides whether a gateway that is about to stop may still accept a request. */

/** A request that arrives at a stopping gateway. */
export interface StopAdmissionView {
  /** Monotonic time in milliseconds at which the gateway ends all requests that are still open. */
  readonly stopsAtMs: number;
  /** Time that requests of its route take at most, as far as is known; undefined if too few have been seen. */
  readonly longestExpectedMs: number | undefined;
  /** Time after which the request ends in any case: its deadline or the timeout of its route. */
  readonly maxWaitMs: number;
}

/**
 * Returns whether the request ends before the gateway stops. One that doesn't is better refused at once, when it
 * certainly hasn't run and its caller can still go to another gateway, than cut off at the end.
 * @param view - The request and the time of the stop.
 * @param nowMs - Monotonic time in milliseconds.
 */
export function canEndBeforeStop(view: StopAdmissionView, nowMs: number): boolean {
  const {stopsAtMs, longestExpectedMs = Infinity, maxWaitMs} = view;
  return nowMs + Math.min(longestExpectedMs, maxWaitMs) <= stopsAtMs;
}
