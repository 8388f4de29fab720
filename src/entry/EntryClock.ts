/** The clocks of an entry: one for instants that it shares with others, one for ages. */

/** Reads of the machine's clocks. */
export interface EntryClockSources {
  readonly getWallMs: () => number;
  readonly getMonotonicMs: () => number;
}

/** Reads the process's clocks. */
export const entryClockSources: EntryClockSources = {
  getWallMs: () => Date.now(),
  getMonotonicMs: () => performance.now(),
};

/** A wall clock that moves by so much against the monotonic one was set, or the machine was suspended. */
const MIN_STEP_MS = 1_000;

/**
 * Gives a clock for ages, which starts at the wall clock's time and runs with the monotonic clock: a wall clock that is set
 * back makes nothing look fresh. It adds the steps by which the wall clock gets ahead, since the monotonic one
 * stands still while a whole machine is suspended; so a wall clock that is set forward makes things look old until
 * they are shown to be fresh again.
 */
export class EntryClock {
  private readonly sources: EntryClockSources;
  private readonly startOffsetMs: number;
  private wallAheadMs: number;
  private addedMs = 0;

  constructor(sources: EntryClockSources = entryClockSources) {
    this.sources = sources;
    this.startOffsetMs = sources.getWallMs() - sources.getMonotonicMs();
    this.wallAheadMs = this.startOffsetMs;
  }

  /** Returns the wall clock, for instants that others read. */
  readonly getWallMs = (): number => this.sources.getWallMs();

  /** Returns the clock for ages; it never goes back. */
  readonly getAgeClockMs = (): number => {
    const monotonicMs = this.sources.getMonotonicMs();
    const wallAheadMs = this.sources.getWallMs() - monotonicMs;
    const stepMs = wallAheadMs - this.wallAheadMs;
    if (Math.abs(stepMs) >= MIN_STEP_MS) {
      this.wallAheadMs = wallAheadMs;
      this.addedMs += Math.max(stepMs, 0);
    }
    return this.startOffsetMs + monotonicMs + this.addedMs;
  };
}
