/** Clocks of a fleet daemon: wall-clock time for records, and two monotonic clocks for the terms of the lease. */
import {SuspendAwareClock} from '../utils/index.js';

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
 * Adds a suspend-aware clock for the lease holder. A step of the wall clock can only make the holder consider its lease
 * expired too early, never too late.
 */
export class FleetClock {
  private readonly sources: ClockSources;
  private readonly suspendAwareClock: SuspendAwareClock;

  constructor(sources: ClockSources = processClocks) {
    this.sources = sources;
    this.suspendAwareClock = new SuspendAwareClock(sources);
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
    return this.suspendAwareClock.getNowMs();
  }
}
