/** The clocks of an entry: a wall clock for timestamps shared with other processes, and a clock for measuring ages. */

/** Functions that read the machine's clocks, in milliseconds. */
export interface EntryClockSources {
  readonly getWallMs: () => number;
  readonly getMonotonicMs: () => number;
}

/** The system clocks. */
export const entryClockSources: EntryClockSources = {
  getWallMs: () => Date.now(),
  getMonotonicMs: () => performance.now(),
};

/**
 * If the wall clock shifts by at least this much against the monotonic clock, it was set or the machine was suspended;
 * smaller shifts are ignored.
 */
const MIN_STEP_MS = 1_000;

/**
 * Provides a clock for ages, which starts at the wall clock's time and advances with the monotonic clock, so that
 * setting the wall clock back doesn't make old data look fresh. Forward steps of the wall clock are added, because the
 * monotonic clock stops while the whole machine is suspended. So setting the wall clock forward makes data look old
 * until it is confirmed again.
 */
export class EntryClock {
  private readonly sources: EntryClockSources;
  /** Wall clock minus monotonic clock at the start. */
  private readonly startOffsetMs: number;
  /** Wall clock minus monotonic clock after the last step. */
  private wallOffsetMs: number;
  /** Sum of all forward steps. */
  private forwardStepsMs = 0;

  constructor(sources: EntryClockSources = entryClockSources) {
    this.sources = sources;
    this.startOffsetMs = sources.getWallMs() - sources.getMonotonicMs();
    this.wallOffsetMs = this.startOffsetMs;
  }

  /** Returns the wall clock's Unix time in milliseconds, for timestamps that other processes read. */
  readonly getWallMs = (): number => this.sources.getWallMs();

  /** Returns the time in milliseconds of the clock for ages, which never goes back. */
  readonly getAgeClockMs = (): number => {
    const monotonicMs = this.sources.getMonotonicMs();
    const wallOffsetMs = this.sources.getWallMs() - monotonicMs;
    const stepMs = wallOffsetMs - this.wallOffsetMs;
    if (Math.abs(stepMs) >= MIN_STEP_MS) {
      this.wallOffsetMs = wallOffsetMs;
      this.forwardStepsMs += Math.max(stepMs, 0);
    }
    return this.startOffsetMs + monotonicMs + this.forwardStepsMs;
  };
}
