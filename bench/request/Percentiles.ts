/** Summaries of measured durations. */

/** Durations at the usual percentiles. */
export interface DurationSummary {
  readonly count: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
}

const DECIMALS = 3;

/**
 * Returns the summary of durations.
 * @param durationsMs - The durations, in any order.
 */
export function summarize(durationsMs: readonly number[]): DurationSummary {
  const sorted = [...durationsMs].sort((a, b) => a - b);
  const at = (part: number) => {
    const value = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? NaN;
    return Number(value.toFixed(DECIMALS));
  };
  return {count: sorted.length, p50Ms: at(0.5), p95Ms: at(0.95), p99Ms: at(0.99)};
}
