/** Sums up the results of a load, for all and per workspace. */
import {build, type Histogram} from 'hdr-histogram-js';
import type {CallResult} from './LoadCall.js';

/** Percentiles of a duration. */
export interface Percentiles {
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/** Sums of a group of results. */
export interface LoadSummary {
  /** Workspace, or `all`. */
  readonly group: string;
  readonly requests: number;
  readonly answered: number;
  readonly firstToken: Percentiles;
  readonly longestGap: Percentiles;
  readonly generatedTokens: number;
  readonly promptTokens: number;
  /** Prompt tokens computed again, though an earlier request began with them. */
  readonly recomputedTokens: number;
  /** Cost of the instances for each thousand requests answered within the target; absent where no price is known. */
  readonly costUsdPerThousand?: number;
}

/** What the instances cost during a load. */
export interface LoadCost {
  readonly priceUsdPerHour: number;
  readonly durationMs: number;
  /** Time to the first token within which an answer counts as good. */
  readonly firstTokenTargetMs: number;
}

const ALL = 'all';
const HIGHEST_MS = 3_600_000;
const MS_PER_HOUR = 3_600_000;
const THOUSAND = 1_000;
const SIGNIFICANT_DIGITS = 3;
const CURVE_PERCENTILES = [0, 10, 25, 50, 75, 90, 95, 99, 99.9, 100] as const;

/** Returns the sums for all results and for each workspace. */
export function summarize(
  results: readonly CallResult[],
  cost: LoadCost | undefined,
): readonly LoadSummary[] {
  const recomputed = countRecomputedTokens(results);
  const names = [...new Set(results.map(({arrival}) => arrival.workspace.name))].sort();
  const groups = names.map(name =>
    summarizeGroup(
      name,
      results.filter(({arrival}) => arrival.workspace.name === name),
      recomputed,
    ),
  );
  const all = summarizeGroup(ALL, results, recomputed);
  return [{...all, costUsdPerThousand: cost && getCostPerThousand(results, cost)}, ...groups];
}

/** Returns the points of the curve of the time to the first token. */
export function getFirstTokenCurve(
  results: readonly CallResult[],
): ReadonlyArray<{readonly percentile: number; readonly valueMs: number}> {
  const histogram = createHistogram(results.map(({firstTokenMs}) => firstTokenMs));
  return CURVE_PERCENTILES.map(percentile => ({
    percentile,
    valueMs: histogram.getValueAtPercentile(percentile),
  }));
}

/** Returns the prompt tokens that each result computed again, though an earlier one had the same beginning. */
export function countRecomputedTokens(
  results: readonly CallResult[],
): ReadonlyMap<CallResult, number> {
  const seen = new Set<string>();
  const inOrder = [...results].sort((a, b) => a.startedAtMs - b.startedAtMs);
  return new Map(
    inOrder.map(result => {
      const {workspace, requestClass, prefixNumber} = result.arrival;
      const prefix = `${workspace.name}/${requestClass.name}/${prefixNumber}`;
      const wasSeen = seen.has(prefix);
      if (result.isAnswered) seen.add(prefix);
      const isCounted = wasSeen && result.isAnswered;
      const missing = requestClass.sharedPrefixTokens - result.cachedTokens;
      return [result, isCounted ? Math.max(missing, 0) : 0];
    }),
  );
}

function summarizeGroup(
  group: string,
  results: readonly CallResult[],
  recomputed: ReadonlyMap<CallResult, number>,
): LoadSummary {
  const answered = results.filter(({isAnswered}) => isAnswered);
  return {
    group,
    requests: results.length,
    answered: answered.length,
    firstToken: getPercentiles(answered.map(({firstTokenMs}) => firstTokenMs)),
    longestGap: getPercentiles(answered.map(({longestGapMs}) => longestGapMs)),
    generatedTokens: sum(answered.map(({generatedTokens}) => generatedTokens)),
    promptTokens: sum(answered.map(({promptTokens}) => promptTokens)),
    recomputedTokens: sum(answered.map(result => recomputed.get(result) ?? 0)),
  };
}

function getCostPerThousand(results: readonly CallResult[], cost: LoadCost): number | undefined {
  const {priceUsdPerHour, durationMs, firstTokenTargetMs} = cost;
  const good = results.filter(
    ({isAnswered, firstTokenMs = Infinity}) => isAnswered && firstTokenMs <= firstTokenTargetMs,
  );
  if (good.length === 0) return undefined;
  return ((priceUsdPerHour * durationMs) / MS_PER_HOUR / good.length) * THOUSAND;
}

function getPercentiles(valuesMs: ReadonlyArray<number | undefined>): Percentiles {
  const histogram = createHistogram(valuesMs);
  return {
    p50Ms: histogram.getValueAtPercentile(50),
    p95Ms: histogram.getValueAtPercentile(95),
    p99Ms: histogram.getValueAtPercentile(99),
    maxMs: histogram.maxValue,
  };
}

function createHistogram(valuesMs: ReadonlyArray<number | undefined>): Histogram {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  for (const valueMs of valuesMs) {
    if (valueMs !== undefined) histogram.recordValue(Math.min(Math.round(valueMs), HIGHEST_MS));
  }
  return histogram;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
