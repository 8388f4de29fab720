/** Aggregates the outcomes of a load test by workspace and request class, and by second. */
import {build, type Histogram} from 'hdr-histogram-js';
import type {PlannedRequest} from './LoadPlan.js';

/** Outcome of one request. */
export interface RequestOutcome {
  readonly planned: PlannedRequest;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  /** HTTP status; 0 if the request was not sent, or its connection failed before the response was complete. */
  readonly status: number;
  /** Kind of the refusal or failure; absent for a complete response. */
  readonly errorKind?: string;
  /** Time from the start to the first token; absent if no token arrived. */
  readonly firstTokenMs?: number;
  /** Times between consecutive tokens. */
  readonly interTokenMs: readonly number[];
  readonly answerTokens: number;
  /** Prompt tokens by the engine's count; 0 if none was reported. */
  readonly promptTokens: number;
  /** Prompt tokens that the engine read from its cache. */
  readonly cachedTokens: number;
}

/** Number and percentiles of durations; all values are 0 if there are none. */
export interface DurationSummary {
  readonly count: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/** Number of requests that were refused or failed with a kind of error. */
export interface ErrorKindCount {
  readonly kind: string;
  readonly count: number;
}

/** Results for one workspace and request class; `all` as both names denotes the whole load test. */
export interface LoadSummary {
  readonly workspace: string;
  readonly requestClass: string;
  readonly sent: number;
  readonly answered: number;
  readonly refused: number;
  readonly failed: number;
  /** Refusals and failures by kind, the most frequent first. */
  readonly errorKinds: readonly ErrorKindCount[];
  readonly firstToken: DurationSummary;
  readonly interToken: DurationSummary;
  readonly answerTokens: number;
  /** Prompt tokens that were computed although they equal those of the conversation's previous request. */
  readonly recomputedTokens: number;
}

/** Results of the requests that started in one second. */
export interface LoadSecondSummary {
  /** Second since the start of the load test, from 0. */
  readonly second: number;
  readonly answered: number;
  readonly refused: number;
  readonly failed: number;
  /** Complete responses whose first token arrived later than the target; included in `answered`. */
  readonly late: number;
}

/** Largest duration that the histograms record; longer ones are recorded as this value. */
const MAX_RECORDED_MS = 600_000;
/** Resolution of the histograms, which record integers only. */
const UNITS_PER_MS = 100;
const MS_PER_SECOND = 1_000;
const STATUS_OK = 200;
/**
 * Statuses of failed requests, among them 0 for one that was not sent or lost its connection. Other statuses except 200
 * are refusals.
 */
const FAILURE_STATUSES: ReadonlySet<number> = new Set([0, 500, 502, 504]);

/** Collects the outcomes of a load test. */
export class LoadResult {
  private readonly outcomes: RequestOutcome[] = [];

  /** Adds the outcome of an ended request. */
  addOutcome(outcome: RequestOutcome): void {
    this.outcomes.push(outcome);
  }

  /** Returns all outcomes, in the order in which they were added. */
  getOutcomes(): readonly RequestOutcome[] {
    return this.outcomes;
  }

  /** Returns a summary for each workspace and request class, and a last one for all requests. */
  getSummaries(): readonly LoadSummary[] {
    const groups = new Map<string, RequestOutcome[]>();
    for (const outcome of this.outcomes) {
      const {workspace, kind} = outcome.planned;
      const name = `${workspace.name}\n${kind.requestClass}`;
      groups.set(name, [...(groups.get(name) ?? []), outcome]);
    }
    const summaries = [...groups]
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([name, outcomes]) => {
        const [workspace, requestClass] = name.split('\n');
        return summarize(workspace, requestClass, outcomes);
      });
    return [...summaries, summarize('all', 'all', this.outcomes)];
  }

  /**
   * Returns the results of each second, by the start times of the requests. Seconds without requests have zero counts.
   * @param startedAtMs - Time at which the load test started.
   * @param firstTokenTargetMs - Longest time to the first token that doesn't count as late.
   */
  getSeconds(startedAtMs: number, firstTokenTargetMs: number): readonly LoadSecondSummary[] {
    const seconds: LoadSecondSummary[] = [];
    for (const outcome of this.outcomes) {
      const second = Math.floor((outcome.startedAtMs - startedAtMs) / MS_PER_SECOND);
      const current = seconds[second] ?? {second, answered: 0, refused: 0, failed: 0, late: 0};
      const isLate = (outcome.firstTokenMs ?? 0) > firstTokenTargetMs;
      seconds[second] = {
        second,
        answered: current.answered + (isAnswered(outcome) ? 1 : 0),
        refused: current.refused + (isRefused(outcome) ? 1 : 0),
        failed: current.failed + (isAnswered(outcome) || isRefused(outcome) ? 0 : 1),
        late: current.late + (isAnswered(outcome) && isLate ? 1 : 0),
      };
    }
    return Array.from(
      seconds,
      (value, second) => value ?? {second, answered: 0, refused: 0, failed: 0, late: 0},
    );
  }
}

function isAnswered({status, errorKind}: RequestOutcome): boolean {
  return status === STATUS_OK && errorKind === undefined;
}

/** A refusal is an error response without any streamed token; a lost connection or a truncated stream is a failure. */
function isRefused({status, errorKind}: RequestOutcome): boolean {
  return errorKind !== 'connection' && status !== STATUS_OK && !FAILURE_STATUSES.has(status);
}

function summarize(
  workspace: string,
  requestClass: string,
  outcomes: readonly RequestOutcome[],
): LoadSummary {
  const answered = outcomes.filter(isAnswered);
  const refused = outcomes.filter(isRefused).length;
  return {
    workspace,
    requestClass,
    sent: outcomes.length,
    answered: answered.length,
    refused,
    failed: outcomes.length - answered.length - refused,
    errorKinds: countErrorKinds(outcomes),
    firstToken: summarizeDurations(answered.flatMap(({firstTokenMs}) => firstTokenMs ?? [])),
    interToken: summarizeDurations(answered.flatMap(({interTokenMs}) => interTokenMs)),
    answerTokens: answered.reduce((sum, {answerTokens}) => sum + answerTokens, 0),
    recomputedTokens: answered.reduce((sum, outcome) => sum + countRecomputedTokens(outcome), 0),
  };
}

function countErrorKinds(outcomes: readonly RequestOutcome[]): readonly ErrorKindCount[] {
  const counts = new Map<string, number>();
  for (const outcome of outcomes) {
    if (isAnswered(outcome)) continue;
    const kind = outcome.errorKind ?? `status ${outcome.status}`;
    counts.set(kind, (counts.get(kind) ?? 0) + 1);
  }
  return [...counts].map(([kind, count]) => ({kind, count})).sort((a, b) => b.count - a.count);
}

function countRecomputedTokens({planned, promptTokens, cachedTokens}: RequestOutcome): number {
  const computedTokens = promptTokens - cachedTokens;
  const newTokens = promptTokens - Math.min(promptTokens, planned.repeatedTokens);
  return Math.max(0, computedTokens - newTokens);
}

function summarizeDurations(durationsMs: readonly number[]): DurationSummary {
  const histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_RECORDED_MS * UNITS_PER_MS,
    numberOfSignificantValueDigits: 3,
  });
  for (const durationMs of durationsMs) {
    histogram.recordValue(Math.round(Math.min(durationMs, MAX_RECORDED_MS) * UNITS_PER_MS));
  }
  const getMs = (percentile: number) => histogram.getValueAtPercentile(percentile) / UNITS_PER_MS;
  return {
    count: durationsMs.length,
    p50Ms: getMs(50),
    p95Ms: getMs(95),
    p99Ms: getMs(99),
    maxMs: durationsMs.length === 0 ? 0 : histogram.maxValue / UNITS_PER_MS,
  };
}
