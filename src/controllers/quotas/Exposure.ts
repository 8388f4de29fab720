/** Sums up time that is weighted, and remembers the sum at recent moments. */

/** Shortest time between two remembered moments. */
const SAMPLE_INTERVAL_MS = 50;
/** Remembered moments; they cover more than the age of any report that counts. */
const SAMPLES = 80;

/** Time since the creation, with each moment weighted by the share of requests that was admitted then. */
export class Exposure {
  private readonly times = new Float64Array(SAMPLES);
  private readonly totals = new Float64Array(SAMPLES);
  private next = 0;
  private count = 0;
  private currentMs = 0;
  private currentAtMs: number;

  constructor(nowMs: number) {
    this.currentAtMs = nowMs;
    this.remember();
  }

  /** Monotonic time up to which the time is summed up. */
  get atMs(): number {
    return this.currentAtMs;
  }

  /** The weighted sum. */
  get totalMs(): number {
    return this.currentMs;
  }

  /**
   * Adds the time until a moment.
   * @param nowMs - Monotonic time in milliseconds.
   * @param exposureMs - The time from the last moment to this one, weighted.
   */
  advance(nowMs: number, exposureMs: number): void {
    if (nowMs <= this.currentAtMs) return;
    this.currentAtMs = nowMs;
    this.currentMs += exposureMs;
    const last = (this.next + SAMPLES - 1) % SAMPLES;
    if (nowMs - this.times[last] >= SAMPLE_INTERVAL_MS) this.remember();
  }

  /**
   * Returns the weighted sum at a past moment, interpolated between the remembered ones. Time before the first of them
   * counts with its whole length.
   */
  getAt(atMs: number): number {
    if (atMs >= this.currentAtMs) return this.currentMs;
    let laterAtMs = this.currentAtMs;
    let laterMs = this.currentMs;
    for (let back = 1; back <= this.count; back += 1) {
      const index = (this.next + SAMPLES - back) % SAMPLES;
      const earlierAtMs = this.times[index];
      const earlierMs = this.totals[index];
      if (earlierAtMs <= atMs && laterAtMs > earlierAtMs) {
        const part = (atMs - earlierAtMs) / (laterAtMs - earlierAtMs);
        return earlierMs + part * (laterMs - earlierMs);
      }
      laterAtMs = earlierAtMs;
      laterMs = earlierMs;
    }
    return laterMs - (laterAtMs - atMs);
  }

  private remember(): void {
    this.times[this.next] = this.currentAtMs;
    this.totals[this.next] = this.currentMs;
    this.next = (this.next + 1) % SAMPLES;
    this.count = Math.min(SAMPLES, this.count + 1);
  }
}
