/** What a load measured: counts and histograms a workspace and class, and the seconds one by one. */
import {build, type Histogram} from 'hdr-histogram-js';
import type {PlannedRequest} from './LoadPlan.js';

/** How one request went. */
export interface RequestOutcome {
  readonly planned: PlannedRequest;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  readonly status: number;
  /** Kind of the refusal or failure; absent for a whole answer. */
  readonly errorKind?: string;
  readonly firstTokenMs?: number;
  readonly interTokenMs: readonly number[];
  readonly answerTokens: number;
  readonly promptTokens: number;
  readonly cachedTokens: number;
}

/** Percentiles of a duration. */
export interface DurationSummary {
  readonly count: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/** How often a kind of refusal or failure came. */
export interface ErrorKindCount {
  readonly kind: string;
  readonly count: number;
}

/** Results of one workspace and class, or of all. */
export interface LoadSummary {
  readonly workspace: string;
  readonly requestClass: string;
  readonly sent: number;
  readonly answered: number;
  readonly refused: number;
  readonly failed: number;
  /** Refusals and failures by their kinds, the most frequent first. */
  readonly errorKinds: readonly ErrorKindCount[];
  readonly firstToken: DurationSummary;
  readonly interToken: DurationSummary;
  readonly answerTokens: number;
  /** Prompt tokens that were computed although an earlier request had computed them. */
  readonly recomputedTokens: number;
}

/** What happened in one second. */
export interface LoadSecond {
  readonly second: number;
  readonly answered: number;
  readonly refused: number;
  readonly failed: number;
  /** Whole answers whose first token came later than the target. */
  readonly late: number;
}

const HIGHEST_RECORDED_MS = 600_000;
const UNITS_PER_MS = 100;
const MS_PER_SECOND = 1_000;
const OK = 200;
const FAILURE_STATUSES: ReadonlySet<number> = new Set([0, 500, 502, 504]);

/** Collects outcomes. */
export class LoadResult {
  private readonly outcomes: RequestOutcome[] = [];

  /**
   * Adds an outcome.
   * @param outcome - The outcome.
   */
  addOutcome(outcome: RequestOutcome): void {
    this.outcomes.push(outcome);
  }

  /** Returns all outcomes in the order of their ends. */
  getOutcomes(): readonly RequestOutcome[] {
    return this.outcomes;
  }

  /** Returns a summary a workspace and class, then one of all. */
  getSummaries(): readonly LoadSummary[] {
    const groups = new Map<string, RequestOutcome[]>();
    for (const outcome of this.outcomes) {
      const {workspace, kind} = outcome.planned;
      const name = `${workspace.name}\n${kind.requestClass}`;
      groups.set(name, [...(groups.get(name) ?? []), outcome]);
    }
    const parts = [...groups]
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([name, outcomes]) => {
        const [workspace, requestClass] = name.split('\n');
        return summarize(workspace, requestClass, outcomes);
      });
    return [...parts, summarize('all', 'all', this.outcomes)];
  }

  /**
   * Returns what happened second by second.
   * @param startedAtMs - Instant at which the load started.
   * @param firstTokenTargetMs - Target of the first token.
   */
  getSeconds(startedAtMs: number, firstTokenTargetMs: number): readonly LoadSecond[] {
    const seconds: LoadSecond[] = [];
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
  return status === OK && errorKind === undefined;
}

/** A refusal is an answer in due form that sent nothing; a lost connection or a broken stream is a failure. */
function isRefused({status, errorKind}: RequestOutcome): boolean {
  return errorKind !== 'connection' && status !== OK && !FAILURE_STATUSES.has(status);
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
    recomputedTokens: answered.reduce((sum, outcome) => sum + countRecomputed(outcome), 0),
  };
}

function countErrorKinds(outcomes: readonly RequestOutcome[]): readonly ErrorKindCount[] {
  const counts = new Map<string, number>();
  for (const outcome of outcomes) {
    if (isAnswered(outcome)) continue;
    const kind = outcome.errorKind ?? `status ${outcome.status}`;
    counts.set(kind, (counts.get(kind) ?? 0) + 1);
  }
  return [...counts]
    .map(([kind, count]) => ({kind, count}))
    .sort((one, other) => other.count - one.count);
}

function countRecomputed({planned, promptTokens, cachedTokens}: RequestOutcome): number {
  const computedTokens = promptTokens - cachedTokens;
  const newTokens = promptTokens - Math.min(promptTokens, planned.repeatedTokens);
  return Math.max(0, computedTokens - newTokens);
}

function summarizeDurations(durationsMs: readonly number[]): DurationSummary {
  const histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_RECORDED_MS * UNITS_PER_MS,
    numberOfSignificantValueDigits: 3,
  });
  for (const durationMs of durationsMs) {
    histogram.recordValue(Math.round(Math.min(durationMs, HIGHEST_RECORDED_MS) * UNITS_PER_MS));
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
