/** Plans the shares of a move from its deadline and from the samples that a judgement needs. */
import type {VersionEvidence} from '../../blackboard/index.js';
import {groupByRouteAndClass} from './VersionVerdict.js';

/** Requests of one route and class, by the evidence of the last minute. */
export interface RequestRate {
  readonly route: string;
  readonly requestClass: string;
  readonly requestsPerSecond: number;
}

/** How a move is to go on. */
export interface MovePlan {
  /** Shares of the steps, rising; the last one is that of the soak. */
  readonly shares: readonly number[];
  /** Time that a step takes at least. */
  readonly stepMs: number;
  readonly soakMs: number;
  /** Routes and classes that have to be judged before each step. */
  readonly judged: readonly RequestRate[];
  /** Routes and classes with too few requests to be judged in the time that there is. */
  readonly unjudged: readonly RequestRate[];
}

/** Requests of the new version that a step needs of each route and class. */
export const SAMPLES_PER_STEP = 20;
/** Share at which the old version keeps enough work to be compared with during the soak. */
export const SOAK_SHARE_PERCENT = 95;

/** Share of the first step, which shows gross faults on few requests. */
export const FIRST_SHARE_PERCENT = 2;
/** Requests of the new version, of all routes and classes together, that the first step needs. */
export const FIRST_STEP_SAMPLES = 20;

/** Shares are fixed, so that rates that are measured anew don't make steps of their own. */
const SHARES_PERCENT = [FIRST_SHARE_PERCENT, 6, 12, 25, 50, SOAK_SHARE_PERCENT];
const LARGEST_EARLY_SHARE_PERCENT = 12;
const STEPS = SHARES_PERCENT.length;
const SOAK_PART = 0.25;
/** Part of the time that is kept for steps that take longer than planned. */
const RESERVE_PART = 0.15;
const MIN_STEP_MS = 6_000;
const MAX_STEP_MS = 600_000;
const MIN_SOAK_MS = 10_000;
const MAX_SOAK_MS = 900_000;
const RATE_MEMORY_MS = 60_000;
const MS_PER_SECOND = 1_000;
const WHOLE_PERCENT = 100;

/**
 * Returns the rates of a service's routes and classes over both versions.
 * @param evidence - Evidence of all entries.
 * @param service - The service.
 * @param nowMs - Present time.
 */
export function getRequestRates(
  evidence: readonly VersionEvidence[],
  service: string,
  nowMs: number,
): readonly RequestRate[] {
  const recent = evidence.filter(window => window.windowStartMs >= nowMs - RATE_MEMORY_MS);
  return [...groupByRouteAndClass(recent, service).values()].map(group => {
    const {route, requestClass} = group[0];
    const requests = group.reduce((sum, window) => sum + window.requests, 0);
    const oldestMs = Math.min(...group.map(window => window.windowStartMs));
    const spanMs = Math.max(nowMs - oldestMs, MS_PER_SECOND);
    return {route, requestClass, requestsPerSecond: (requests * MS_PER_SECOND) / spanMs};
  });
}

/**
 * Plans a move.
 * @param totalMs - Time from the request of the move to its deadline.
 * @param rates - Rates of the service's routes and classes.
 */
export function planMove(totalMs: number, rates: readonly RequestRate[]): MovePlan {
  const soakMs = clamp(totalMs * SOAK_PART, MIN_SOAK_MS, MAX_SOAK_MS);
  const rampMs = totalMs * (1 - RESERVE_PART) - soakMs;
  const stepMs = clamp(rampMs / (STEPS - 1), MIN_STEP_MS, MAX_STEP_MS);
  const judged = rates.filter(rate => canBeJudged(rate, rampMs));
  const unjudged = rates.filter(rate => !judged.includes(rate));
  const shares = getShares(rates, judged, stepMs);
  return {shares, stepMs, soakMs, judged, unjudged};
}

/**
 * Returns the least time from the present step to the end of the soak.
 * @param plan - The plan.
 * @param sharePercent - Share of the present step.
 */
export function getLeastRemainingMs(plan: MovePlan, sharePercent: number): number {
  const stepsLeft = plan.shares.slice(0, -1).filter(share => share > sharePercent);
  const rampMs = stepsLeft.reduce((sum, share) => sum + getLeastStepMs(plan, share), 0);
  return rampMs + plan.soakMs;
}

function getLeastStepMs({judged}: MovePlan, sharePercent: number): number {
  const isFirst = sharePercent <= FIRST_SHARE_PERCENT;
  return Math.max(
    MIN_STEP_MS,
    isFirst ? getFirstStepMs(judged) : getSamplingMs(judged, sharePercent),
  );
}

/** A route or class counts where an early share would give its samples within half the ramp. */
function canBeJudged(rate: RequestRate, rampMs: number): boolean {
  return (
    getSamplingMs([rate], LARGEST_EARLY_SHARE_PERCENT) <= Math.max(rampMs, MIN_STEP_MS * STEPS) / 2
  );
}

/** The first share needs few samples; early ones that would take longer than a step to give theirs are left out. */
function getShares(
  rates: readonly RequestRate[],
  judged: readonly RequestRate[],
  stepMs: number,
): readonly number[] {
  return SHARES_PERCENT.filter(share => {
    if (share >= LARGEST_EARLY_SHARE_PERCENT) return true;
    if (share === FIRST_SHARE_PERCENT) return getFirstStepMs(rates) <= stepMs;
    return getSamplingMs(judged, share) <= stepMs;
  });
}

function getFirstStepMs(rates: readonly RequestRate[]): number {
  const perSecond = rates.reduce((sum, {requestsPerSecond}) => sum + requestsPerSecond, 0);
  if (perSecond === 0) return MIN_STEP_MS;
  const samplingMs = (FIRST_STEP_SAMPLES * MS_PER_SECOND * WHOLE_PERCENT) / FIRST_SHARE_PERCENT;
  return Math.max(MIN_STEP_MS, samplingMs / perSecond);
}

/** Returns the time in which the slowest route or class gives a step's samples at a share. */
function getSamplingMs(rates: readonly RequestRate[], sharePercent: number): number {
  const times = rates.map(
    ({requestsPerSecond}) =>
      (SAMPLES_PER_STEP * MS_PER_SECOND) / (requestsPerSecond * (sharePercent / WHOLE_PERCENT)),
  );
  return Math.max(0, ...times);
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(Math.max(value, min), max);
}
