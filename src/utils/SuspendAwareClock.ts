/** A clock that also advances while the machine is suspended. */

/** Constructor options of `SuspendAwareClock`. */
export interface SuspendAwareClockOptions {
  /** Returns the Unix time in milliseconds. */
  readonly getWallMs: () => number;
  /** Returns the monotonic time in milliseconds, which may stop while the machine is suspended. */
  readonly getMonotonicMs: () => number;
}

/**
 * Advances by the larger of the wall clock's and the monotonic clock's progress. A step of the wall clock can therefore
 * only make things look older than they are, never newer.
 */
export class SuspendAwareClock {
  private readonly options: SuspendAwareClockOptions;
  private lastWallMs: number;
  private lastMonotonicMs: number;
  private currentMs: number;

  constructor(options: SuspendAwareClockOptions) {
    this.options = options;
    this.lastWallMs = options.getWallMs();
    this.lastMonotonicMs = options.getMonotonicMs();
    this.currentMs = this.lastMonotonicMs;
  }

  /** Returns the time in milliseconds; the first value is that of the monotonic clock. */
  getNowMs(): number {
    const wallMs = this.options.getWallMs();
    const monotonicMs = this.options.getMonotonicMs();
    this.currentMs += Math.max(wallMs - this.lastWallMs, monotonicMs - this.lastMonotonicMs);
    this.lastWallMs = wallMs;
    this.lastMonotonicMs = monotonicMs;
    return this.currentMs;
  }
}
