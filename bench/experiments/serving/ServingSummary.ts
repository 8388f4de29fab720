/** Sums up served requests: latency at the target, and tokens computed again. */
import type {ServedRequest} from './ServingModel.js';

/** Latency target: first token, and time between tokens. */
export const FIRST_TOKEN_TARGET_MS = 1_300;
export const INTER_TOKEN_TARGET_MS = 52;
/** Part of the first tokens and of the times between tokens that has to be within the target. */
export const TARGET_PART = 0.95;

/** What served requests come to. */
export interface ServingSummary {
  readonly requests: number;
  readonly whole: number;
  readonly firstTokenP50Ms: number;
  readonly firstTokenP95Ms: number;
  readonly interTokenP95Ms: number;
  /** Part of all requests whose first token came within the target. */
  readonly firstTokenPart: number;
  /** Part of the times between tokens within the target. */
  readonly interTokenPart: number;
  /** Prompt tokens computed though an earlier request had brought them, answers moved elsewhere included. */
  readonly recomputedTokens: number;
  readonly promptTokens: number;
  readonly movedRequests: number;
}

/**
 * Sums up served requests.
 * @param served - The requests.
 */
export function summarizeServed(served: readonly ServedRequest[]): ServingSummary {
  const firstTokens = served.flatMap(({firstTokenMs}) => firstTokenMs ?? []).sort(byValue);
  const interTokens = served.flatMap(({interTokenMs}) => interTokenMs).sort(byValue);
  const countWithin = (values: readonly number[], targetMs: number) =>
    values.filter(value => value <= targetMs).length;
  return {
    requests: served.length,
    whole: served.filter(({isWhole}) => isWhole).length,
    firstTokenP50Ms: getQuantile(firstTokens, 0.5),
    firstTokenP95Ms: getQuantile(firstTokens, TARGET_PART),
    interTokenP95Ms: getQuantile(interTokens, TARGET_PART),
    firstTokenPart: countWithin(firstTokens, FIRST_TOKEN_TARGET_MS) / served.length,
    interTokenPart: countWithin(interTokens, INTER_TOKEN_TARGET_MS) / interTokens.length,
    recomputedTokens: served.reduce((sum, one) => sum + countRecomputed(one), 0),
    promptTokens: served.reduce((sum, {planned}) => sum + planned.promptTokens, 0),
    movedRequests: served.filter(({tries}) => tries > 1).length,
  };
}

/**
 * Tells whether served requests meet the latency target.
 * @param summary - What they come to.
 */
export function meetsTarget({firstTokenPart, interTokenPart}: ServingSummary): boolean {
  return firstTokenPart >= TARGET_PART && interTokenPart >= TARGET_PART;
}

function countRecomputed({planned, computedTokens}: ServedRequest): number {
  return Math.max(0, computedTokens - (planned.promptTokens - planned.repeatedTokens));
}

function getQuantile(sorted: readonly number[], part: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? NaN;
}

function byValue(one: number, other: number): number {
  return one - other;
}
