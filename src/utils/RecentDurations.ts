/** The latest durations of several kinds of events, from which the duration of the next one is predicted. */

/** Durations that are remembered of each kind. */
const MAX_REMEMBERED = 100;
/** Fewer durations than this say nothing about the next one. */
const MIN_REMEMBERED = 20;
/** Factor on the longest remembered duration: the next one may be longer than all of them. */
const PREDICTION_FACTOR = 2;

/** Remembers the latest durations by a key. */
export class RecentDurations {
  private readonly durationsByKey = new Map<string, number[]>();

  /**
   * Adds the duration of an event that has ended.
   * @param key - Kind of the event.
   * @param durationMs - How long it took.
   */
  addDuration(key: string, durationMs: number): void {
    const durations = this.durationsByKey.get(key) ?? [];
    this.durationsByKey.set(key, durations);
    durations.push(durationMs);
    if (durations.length > MAX_REMEMBERED) durations.shift();
  }

  /**
   * Returns a duration that the next event of a kind is unlikely to exceed; undefined if too few have been seen.
   * @param key - Kind of the event.
   */
  getLongestExpectedMs(key: string): number | undefined {
    const durations = this.durationsByKey.get(key);
    if (!durations || durations.length < MIN_REMEMBERED) return undefined;
    return Math.max(...durations) * PREDICTION_FACTOR;
  }
}
