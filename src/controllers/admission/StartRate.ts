/** The rate at which waiting requests are started, from which the wait of the next one is estimated. */

/** Weight of a new interval in the mean. */
const SAMPLE_WEIGHT = 0.15;
/** Fewer intervals than this say nothing about the next one. */
const MIN_SAMPLES = 4;
/** Time after which the rate of an earlier overload says nothing about the present one. */
const EXPIRY_MS = 3_000;

/** Mean time for which the first of the waiting requests waits until it is started. */
export class StartRate {
  private meanMs = 0;
  private samples = 0;
  private startedAtMs = -Infinity;

  /**
   * Records the start of a waiting request.
   * @param waitingSinceMs - Time since which there has been a waiting request without interruption.
   */
  addStart(waitingSinceMs: number, nowMs: number): void {
    const intervalMs = nowMs - Math.max(this.startedAtMs, waitingSinceMs);
    if (nowMs - this.startedAtMs > EXPIRY_MS) this.samples = 0;
    this.startedAtMs = nowMs;
    this.samples += 1;
    const weight = Math.max(SAMPLE_WEIGHT, 1 / this.samples);
    this.meanMs += weight * (intervalMs - this.meanMs);
  }

  /** Returns the mean interval; undefined if too few were measured, or none for a long time. */
  getIntervalMs(nowMs: number): number | undefined {
    if (nowMs - this.startedAtMs > EXPIRY_MS) return undefined;
    return this.samples >= MIN_SAMPLES ? this.meanMs : undefined;
  }
}
