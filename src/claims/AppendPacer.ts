/** Paces appends, so that all entries together stay within the log's rate. */

const MS_PER_SECOND = 1_000;

/** A token bucket: quiet entries append at once, busy ones gather more into each append. */
export class AppendPacer {
  private readonly burst: number;
  private tokens: number;
  private refilledAtMs: number | undefined;

  /**
   * @param burst - Appends that may follow each other without a wait after a quiet time.
   */
  constructor(burst: number) {
    this.burst = burst;
    this.tokens = burst;
  }

  /**
   * Takes the right to one append.
   * @param nowMs - Present time.
   * @param appendsPerSecond - Rate in the long run.
   * @returns Time to wait before it.
   */
  takeAppend(nowMs: number, appendsPerSecond: number): number {
    const elapsedMs = Math.max(0, nowMs - (this.refilledAtMs ?? nowMs));
    const refill = (elapsedMs * appendsPerSecond) / MS_PER_SECOND;
    this.refilledAtMs = nowMs;
    this.tokens = Math.min(this.burst, this.tokens + refill) - 1;
    return Math.max(0, (-this.tokens * MS_PER_SECOND) / appendsPerSecond);
  }
}
