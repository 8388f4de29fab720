/** Paces appends, so that all entries together stay within the log's rate. */

/** Options of an `AppendPacer`. */
export interface AppendPacerOptions {
  /** Appends a second in the long run. */
  readonly appendsPerSecond: number;
  /** Appends that may follow each other without a wait after a quiet time. */
  readonly burst: number;
}

const MS_PER_SECOND = 1_000;

/** A token bucket: quiet entries append at once, busy ones gather more into each append. */
export class AppendPacer {
  private readonly options: AppendPacerOptions;
  private tokens: number;
  private refilledAtMs: number | undefined;

  constructor(options: AppendPacerOptions) {
    this.options = options;
    this.tokens = options.burst;
  }

  /**
   * Takes the right to one append.
   * @param nowMs - Present time.
   * @returns Time to wait before it.
   */
  takeAppend(nowMs: number): number {
    const {appendsPerSecond, burst} = this.options;
    const elapsedMs = Math.max(0, nowMs - (this.refilledAtMs ?? nowMs));
    const refill = (elapsedMs * appendsPerSecond) / MS_PER_SECOND;
    this.refilledAtMs = nowMs;
    this.tokens = Math.min(burst, this.tokens + refill) - 1;
    return Math.max(0, (-this.tokens * MS_PER_SECOND) / appendsPerSecond);
  }
}
