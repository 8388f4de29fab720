/** A clock that also advances while the machine is suspended. */

/** Constructor options of `SuspendAwareClock`. */
export interface SuspendAwareClockOptions {
  /** Returns the Unix time in milliseconds. */
  readonly getWallMs: () => number;
  /** Returns the monotonic time in milliseconds, which may stop while the machine is suspended. */
  readonly getMonotonicMs: () => number;
}

/**
 * Smallest lead of the wall clock that counts as a suspension. The clocks have different resolutions and are read one
 * after the other; counting each difference would make this clock run fast when it is read often.
 */
const MIN_LEAD_MS = 20;

/**
 * Advances with the monotonic clock, and by each lead that the wall clock gains over it. A step of the wall clock can
 * therefore only make things look older than they are, never newer.
 */
export class SuspendAwareClock {
  private readonly options: SuspendAwareClockOptions;
  /** Difference between the wall clock and the monotonic clock that is explained. */
  private knownOffsetMs: number;
  private suspendedMs = 0;

  constructor(options: SuspendAwareClockOptions) {
    this.options = options;
    this.knownOffsetMs = options.getWallMs() - options.getMonotonicMs();
  }

  /** Returns the time in milliseconds; the first value is that of the monotonic clock. */
  getNowMs(): number {
    const monotonicMs = this.options.getMonotonicMs();
    const offsetMs = this.options.getWallMs() - monotonicMs;
    const leadMs = offsetMs - this.knownOffsetMs;
    if (Math.abs(leadMs) >= MIN_LEAD_MS) {
      this.knownOffsetMs = offsetMs;
      this.suspendedMs += Math.max(0, leadMs);
    }
    return monotonicMs + this.suspendedMs;
  }
}
