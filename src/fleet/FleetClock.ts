/** Clocks of a fleet daemon: wall-clock time for records, and two monotonic clocks for the terms of the lease. */

/** The underlying clocks of the machine. */
export interface ClockSources {
  /** Returns the Unix time in milliseconds. */
  readonly getWallMs: () => number;
  /** Returns the monotonic time in milliseconds. */
  readonly getMonotonicMs: () => number;
}

/** Reads the clocks of this process with `Date.now` and `performance.now`. */
export const processClocks: ClockSources = {
  getWallMs: () => Date.now(),
  getMonotonicMs: () => performance.now(),
};

/**
 * Adds a suspend-aware clock for the lease holder. It advances by the larger of the wall clock's and the monotonic
 * clock's progress, because the monotonic clock stops while the machine is suspended. A step of the wall clock can
 * therefore only make the holder consider its lease expired too early, never too late.
 */
export class FleetClock {
  private readonly sources: ClockSources;
  private lastWallMs: number;
  private lastMonotonicMs: number;
  private suspendAwareMs: number;

  constructor(sources: ClockSources = processClocks) {
    this.sources = sources;
    this.lastWallMs = sources.getWallMs();
    this.lastMonotonicMs = sources.getMonotonicMs();
    this.suspendAwareMs = this.lastMonotonicMs;
  }

  /** Returns the Unix time in milliseconds, for timestamps in records. */
  getWallMs(): number {
    return this.sources.getWallMs();
  }

  /** Returns the monotonic time in milliseconds, by which a candidate waits for the lease to expire. */
  getMonotonicMs(): number {
    return this.sources.getMonotonicMs();
  }

  /** Returns the suspend-aware time in milliseconds, by which the holder decides that its own lease has expired. */
  getSuspendAwareMs(): number {
    const wallMs = this.sources.getWallMs();
    const monotonicMs = this.sources.getMonotonicMs();
    this.suspendAwareMs += Math.max(wallMs - this.lastWallMs, monotonicMs - this.lastMonotonicMs);
    this.lastWallMs = wallMs;
    this.lastMonotonicMs = monotonicMs;
    return this.suspendAwareMs;
  }
}
