/** Counters and histograms, sent over StatsD and kept for `GET /v1/stats`. */
import {build, type Histogram} from 'hdr-histogram-js';
import {StatsD} from 'hot-shots';

/** Labels of a metric; few values each. */
export type MetricTags = Readonly<Record<string, string>>;

/** Where metrics go. */
export interface MetricsOptions {
  /** IP number of the StatsD server; absent for none. */
  readonly statsdAddress?: string;
  readonly statsdPort?: number;
  readonly globalTags: MetricTags;
}

/** A counter or the summary of a histogram as `getSnapshot` returns it. */
export interface MetricValue {
  readonly name: string;
  readonly tags: MetricTags;
  readonly count: number;
  readonly p50?: number;
  readonly p95?: number;
  readonly p99?: number;
  readonly max?: number;
}

const HIGHEST_RECORDED_MS = 3_600_000;
const SIGNIFICANT_DIGITS = 2;
/** Histograms count tenths of a millisecond. */
const UNITS_PER_MS = 10;

interface Series<Value> {
  readonly name: string;
  readonly tags: MetricTags;
  value: Value;
}

/** Counts and measures; never throws and never waits. */
export class Metrics {
  private readonly client: StatsD | undefined;
  private readonly counters = new Map<string, Series<number>>();
  private readonly histograms = new Map<string, Series<Histogram>>();

  constructor({statsdAddress, statsdPort, globalTags}: MetricsOptions) {
    if (statsdAddress === undefined) return;
    this.client = new StatsD({
      host: statsdAddress,
      port: statsdPort,
      prefix: 'buckthorn.',
      globalTags: {...globalTags},
      errorHandler: () => undefined,
    });
  }

  /**
   * Adds to a counter.
   * @param name - Name with dots.
   * @param tags - Labels.
   * @param amount - How much to add.
   */
  addCount(name: string, tags: MetricTags = {}, amount = 1): void {
    getSeries(this.counters, name, tags, () => 0).value += amount;
    this.client?.increment(name, amount, {...tags});
  }

  /**
   * Records a duration.
   * @param name - Name with dots.
   * @param durationMs - The duration.
   * @param tags - Labels.
   */
  addDuration(name: string, durationMs: number, tags: MetricTags = {}): void {
    const series = getSeries(this.histograms, name, tags, () =>
      build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: HIGHEST_RECORDED_MS * UNITS_PER_MS,
        numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
      }),
    );
    const units = Math.round(Math.min(Math.max(durationMs, 0), HIGHEST_RECORDED_MS) * UNITS_PER_MS);
    series.value.recordValue(units);
    this.client?.distribution(name, durationMs, {...tags});
  }

  /** Returns all counters and summaries of all histograms. */
  getSnapshot(): readonly MetricValue[] {
    const counters = [...this.counters.values()].map(({name, tags, value}) => ({
      name,
      tags,
      count: value,
    }));
    const histograms = [...this.histograms.values()].map(({name, tags, value}) => ({
      name,
      tags,
      count: value.totalCount,
      p50: value.getValueAtPercentile(50) / UNITS_PER_MS,
      p95: value.getValueAtPercentile(95) / UNITS_PER_MS,
      p99: value.getValueAtPercentile(99) / UNITS_PER_MS,
      max: value.maxValue / UNITS_PER_MS,
    }));
    return [...counters, ...histograms];
  }

  /** Sends what is buffered and closes the socket. */
  async close(): Promise<void> {
    const {client} = this;
    if (!client) return;
    await new Promise<void>(resolve => client.close(() => resolve()));
  }
}

function getSeries<Value>(
  all: Map<string, Series<Value>>,
  name: string,
  tags: MetricTags,
  createValue: () => Value,
): Series<Value> {
  const key = [name, ...Object.entries(tags).flat()].join('|');
  const found = all.get(key);
  if (found) return found;
  const created = {name, tags, value: createValue()};
  all.set(key, created);
  return created;
}
