/** Rate limit of this entry's appends, so that all entries together stay within the log's append rate. */

const MS_PER_SECOND = 1_000;

/** Token bucket for appends: an idle entry appends at once, a busy one waits and collects larger batches meanwhile. */
export class AppendPacer {
  private readonly burst: number;
  private tokens: number;
  private refilledAtMs: number | undefined;

  /**
   * @param burst - Bucket size, as the number of appends that need not wait after an idle period.
   */
  constructor(burst: number) {
    this.burst = burst;
    this.tokens = burst;
  }

  /**
   * Reserves one append. Reservations queue up: each takes a token, also while the bucket is empty.
   * @param nowMs - Current time in milliseconds; a clock that goes back refills nothing.
   * @param appendsPerSecond - Refill rate of the bucket.
   * @returns Time in milliseconds to wait before the append.
   */
  reserveAppend(nowMs: number, appendsPerSecond: number): number {
    const elapsedMs = Math.max(0, nowMs - (this.refilledAtMs ?? nowMs));
    const refill = (elapsedMs * appendsPerSecond) / MS_PER_SECOND;
    this.refilledAtMs = nowMs;
    this.tokens = Math.min(this.burst, this.tokens + refill) - 1;
    return Math.max(0, (-this.tokens * MS_PER_SECOND) / appendsPerSecond);
  }
}
