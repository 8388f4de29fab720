/** Summarises served requests: latencies against the target, and recomputed tokens. */
import type {ServedRequest} from './ServingModel.js';

/** Latency targets in milliseconds: time to the first token, and time between tokens. */
export const FIRST_TOKEN_TARGET_MS = 1_300;
export const INTER_TOKEN_TARGET_MS = 52;
/** Fraction of first tokens and of times between tokens that must be within the target. */
export const REQUIRED_FRACTION = 0.95;

/** Counts, latencies and recomputed tokens of served requests. */
export interface ServingSummary {
  readonly requests: number;
  /** Requests with a complete response. */
  readonly completeResponses: number;
  readonly firstTokenP50Ms: number;
  readonly firstTokenP95Ms: number;
  readonly interTokenP95Ms: number;
  /** Fraction of all requests whose first token arrived within the target. */
  readonly firstTokenFraction: number;
  /** Fraction of the times between tokens that were within the target. */
  readonly interTokenFraction: number;
  /** Tokens prefilled although an earlier request had sent them, or again after a request moved to another engine. */
  readonly recomputedTokens: number;
  readonly promptTokens: number;
  readonly movedRequests: number;
}

/** Summarises served requests; percentiles are NaN if there are no values. */
export function summarizeServed(served: readonly ServedRequest[]): ServingSummary {
  const firstTokens = served.flatMap(({firstTokenMs}) => firstTokenMs ?? []).sort(compareNumbers);
  const interTokens = served.flatMap(({interTokenMs}) => interTokenMs).sort(compareNumbers);
  const countWithin = (values: readonly number[], targetMs: number) =>
    values.filter(value => value <= targetMs).length;
  return {
    requests: served.length,
    completeResponses: served.filter(({isComplete}) => isComplete).length,
    firstTokenP50Ms: getQuantile(firstTokens, 0.5),
    firstTokenP95Ms: getQuantile(firstTokens, REQUIRED_FRACTION),
    interTokenP95Ms: getQuantile(interTokens, REQUIRED_FRACTION),
    firstTokenFraction: countWithin(firstTokens, FIRST_TOKEN_TARGET_MS) / served.length,
    interTokenFraction: countWithin(interTokens, INTER_TOKEN_TARGET_MS) / interTokens.length,
    recomputedTokens: served.reduce((sum, one) => sum + countRecomputed(one), 0),
    promptTokens: served.reduce((sum, {planned}) => sum + planned.promptTokens, 0),
    movedRequests: served.filter(({attempts}) => attempts > 1).length,
  };
}

/** Returns whether 95% of first tokens and of times between tokens are within the latency targets. */
export function meetsTarget({firstTokenFraction, interTokenFraction}: ServingSummary): boolean {
  return firstTokenFraction >= REQUIRED_FRACTION && interTokenFraction >= REQUIRED_FRACTION;
}

function countRecomputed({planned, computedTokens}: ServedRequest): number {
  return Math.max(0, computedTokens - (planned.promptTokens - planned.repeatedTokens));
}

function getQuantile(sorted: readonly number[], part: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? NaN;
}

function compareNumbers(one: number, other: number): number {
  return one - other;
}
