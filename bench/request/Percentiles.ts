/** Percentiles of measured durations. */

/** Count and percentiles of durations in milliseconds. */
export interface DurationSummary {
  readonly count: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
}

const DECIMALS = 3;

/**
 * Returns count and percentiles, rounded to three decimals; percentiles are NaN if there are no durations.
 * @param durationsMs - Durations in any order.
 */
export function summarize(durationsMs: readonly number[]): DurationSummary {
  const sorted = [...durationsMs].sort((a, b) => a - b);
  const getQuantileMs = (quantile: number) => {
    const value = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? NaN;
    return Number(value.toFixed(DECIMALS));
  };
  return {
    count: sorted.length,
    p50Ms: getQuantileMs(0.5),
    p95Ms: getQuantileMs(0.95),
    p99Ms: getQuantileMs(0.99),
  };
}
