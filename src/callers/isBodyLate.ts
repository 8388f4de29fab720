/** Decides when a request is given up whose body doesn't arrive. */

/** Longest time without any byte of a body; a lossy connection recovers from several lost packets within it. */
const MAX_STALL_MS = 10_000;
/** Longest time for a whole body: a legal one of 4 MiB takes 5 s on the slowest link in use (7 Mbit/s). */
const MAX_BODY_MS = 60_000;

/** How a body has arrived so far; times are monotonic and in milliseconds. */
export interface BodyProgress {
  readonly receivedAtMs: number;
  /** Time at which the last byte is known to have arrived. */
  readonly progressAtMs: number;
  /** Time after `receivedAtMs` at which the caller gives up; undefined if it hasn't said. */
  readonly deadlineMs: number | undefined;
}

/** Returns whether the caller has given up, or the body has stopped or is far too slow. */
export function isBodyLate(progress: BodyProgress, nowMs: number): boolean {
  const {receivedAtMs, progressAtMs, deadlineMs = Infinity} = progress;
  return (
    nowMs - progressAtMs >= MAX_STALL_MS ||
    nowMs - receivedAtMs >= Math.min(deadlineMs, MAX_BODY_MS)
  );
}
