/** The latest durations of several kinds of events, from which the duration of the next one is predicted. */

/** Constructor options of `RecentDurations`. */
export interface RecentDurationsOptions {
  /** Time for which a duration is remembered, also if many more have been added since. */
  readonly minRememberedMs: number;
}

/** Latest durations that are remembered of each kind, however old they are. */
const MAX_REMEMBERED = 100;
/** Fewer durations than this say nothing about the next one. */
const MIN_REMEMBERED = 20;
/** Factor on the longest remembered duration: the next one may be longer than all of them. */
const PREDICTION_FACTOR = 2;

/** A duration that no later one of its kind exceeds. */
interface RememberedDuration {
  readonly durationMs: number;
  readonly addedAtMs: number;
  /** How many durations of the kind had been added before. */
  readonly index: number;
}

/** The durations of one kind. */
interface DurationSeries {
  count: number;
  /** In the order of their addition, so that they are decreasing: a shorter one before a longer one is dropped. */
  readonly longest: RememberedDuration[];
}

/** Remembers the latest durations by a key. */
export class RecentDurations {
  private readonly options: RecentDurationsOptions;
  private readonly seriesByKey = new Map<string, DurationSeries>();

  constructor(options: RecentDurationsOptions = {minRememberedMs: 0}) {
    this.options = options;
  }

  /**
   * Adds the duration of an event that has ended.
   * @param key - Kind of the event.
   * @param durationMs - How long it took.
   * @param nowMs - Current time in milliseconds.
   */
  addDuration(key: string, durationMs: number, nowMs: number): void {
    const series = this.seriesByKey.get(key) ?? {count: 0, longest: []};
    this.seriesByKey.set(key, series);
    const {longest} = series;
    while (longest.length > 0 && longest[longest.length - 1].durationMs <= durationMs) {
      longest.pop();
    }
    longest.push({durationMs, addedAtMs: nowMs, index: series.count});
    series.count += 1;
    this.removeOld(series, nowMs);
  }

  /**
   * Returns a duration that the next event of a kind is unlikely to exceed; undefined if too few have been seen.
   * @param key - Kind of the event.
   * @param nowMs - Current time in milliseconds.
   */
  getLongestExpectedMs(key: string, nowMs: number): number | undefined {
    const series = this.seriesByKey.get(key);
    if (!series || series.count < MIN_REMEMBERED) return undefined;
    this.removeOld(series, nowMs);
    return series.longest[0].durationMs * PREDICTION_FACTOR;
  }

  private removeOld({count, longest}: DurationSeries, nowMs: number): void {
    const isOld = ({index, addedAtMs}: RememberedDuration) =>
      index < count - MAX_REMEMBERED && nowMs - addedAtMs >= this.options.minRememberedMs;
    while (isOld(longest[0])) longest.shift();
  }
}
