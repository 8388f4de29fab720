/** Counters and histograms, sent to a StatsD server and aggregated in memory for `GET /v1/stats`. */
import {build, type Histogram} from 'hdr-histogram-js';
import {StatsD} from 'hot-shots';

/** Labels of a metric. Each must have few distinct values, because every combination is kept in memory. */
export type MetricTags = Readonly<Record<string, string>>;

/** StatsD server and common tags of the metrics. */
export interface MetricsOptions {
  /** IP address of the StatsD server; undefined to keep metrics in memory only. */
  readonly statsdAddress?: string;
  /** UDP port of the StatsD server; undefined for the default of the client library. */
  readonly statsdPort?: number;
  /** Tags of every metric that is sent to StatsD. */
  readonly globalTags: MetricTags;
}

/** Value of a counter, or summary of a histogram with durations in milliseconds. */
export interface MetricValue {
  readonly name: string;
  readonly tags: MetricTags;
  /** Sum of a counter, or number of durations in a histogram. */
  readonly count: number;
  readonly p50?: number;
  readonly p95?: number;
  readonly p99?: number;
  readonly max?: number;
}

const MAX_RECORDED_MS = 3_600_000;
const SIGNIFICANT_DIGITS = 2;
/** Histograms record integers in units of 0.1 ms. */
const UNITS_PER_MS = 10;

/** A metric name with one combination of tags. */
interface Series<Value> {
  readonly name: string;
  readonly tags: MetricTags;
  value: Value;
}

/** Records counters and durations without blocking; errors of the StatsD socket are ignored. */
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
   * Increments a counter.
   * @param name - Dot-separated name, such as `request.errors`.
   * @param tags - Labels that distinguish the series of this name.
   * @param amount - Increment, 1 by default.
   */
  addCount(name: string, tags: MetricTags = {}, amount = 1): void {
    getOrCreateSeries(this.counters, name, tags, () => 0).value += amount;
    this.client?.increment(name, amount, {...tags});
  }

  /**
   * Adds a duration to a histogram.
   * @param name - Dot-separated name of the histogram.
   * @param durationMs - Duration in milliseconds; the in-memory histogram limits it to the range from 0 to one hour.
   * @param tags - Labels that distinguish the series of this name.
   */
  addDuration(name: string, durationMs: number, tags: MetricTags = {}): void {
    const series = getOrCreateSeries(this.histograms, name, tags, () =>
      build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAX_RECORDED_MS * UNITS_PER_MS,
        numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
      }),
    );
    const units = Math.round(Math.min(Math.max(durationMs, 0), MAX_RECORDED_MS) * UNITS_PER_MS);
    series.value.recordValue(units);
    this.client?.distribution(name, durationMs, {...tags});
  }

  /** Returns the values of all counters and the summaries of all histograms since the process started. */
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

  /** Flushes buffered metrics to StatsD and closes the socket. */
  async close(): Promise<void> {
    const {client} = this;
    if (!client) return;
    await new Promise<void>(resolve => client.close(() => resolve()));
  }
}

function getOrCreateSeries<Value>(
  all: Map<string, Series<Value>>,
  name: string,
  tags: MetricTags,
  createValue: () => Value,
): Series<Value> {
  const key = [name, ...Object.entries(tags).flat()].join('|');
  const existing = all.get(key);
  if (existing) return existing;
  const created = {name, tags, value: createValue()};
  all.set(key, created);
  return created;
}
