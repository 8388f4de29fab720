/** The clocks of a fleet daemon: one for instants that it shares, one for the terms of the lease. */

/** Reads of the machine's clocks. */
export interface ClockSources {
  readonly getWallMs: () => number;
  readonly getMonotonicMs: () => number;
}

/** Reads the process's clocks. */
export const processClocks: ClockSources = {
  getWallMs: () => Date.now(),
  getMonotonicMs: () => performance.now(),
};

/**
 * Gives the holder's clock: it advances by the larger step of wall clock and monotonic clock, since the latter stands
 * still while a whole machine is suspended. A step of the wall clock can only end the holder's right early.
 */
export class FleetClock {
  private readonly sources: ClockSources;
  private lastWallMs: number;
  private lastMonotonicMs: number;
  private holderMs: number;

  constructor(sources: ClockSources = processClocks) {
    this.sources = sources;
    this.lastWallMs = sources.getWallMs();
    this.lastMonotonicMs = sources.getMonotonicMs();
    this.holderMs = this.lastMonotonicMs;
  }

  /** Returns the wall clock, for instants in records. */
  getWallMs(): number {
    return this.sources.getWallMs();
  }

  /** Returns the clock by which a candidate waits. */
  getCandidateMs(): number {
    return this.sources.getMonotonicMs();
  }

  /** Returns the clock by which the holder ends its own right to act. */
  getHolderMs(): number {
    const wallMs = this.sources.getWallMs();
    const monotonicMs = this.sources.getMonotonicMs();
    this.holderMs += Math.max(wallMs - this.lastWallMs, monotonicMs - this.lastMonotonicMs);
    this.lastWallMs = wallMs;
    this.lastMonotonicMs = monotonicMs;
    return this.holderMs;
  }
}
