/**
 * Plans the steps of a move from its deadline, the request rates, and the number of samples that a comparison needs.
 */
import type {VersionEvidence} from '../../blackboard/index.js';
import {groupByRouteAndClass} from './detectVersionFaults.js';

/** Request rate of one route and request class over the last minute. */
export interface RequestRate {
  readonly route: string;
  readonly requestClass: string;
  readonly requestsPerSecond: number;
}

/** Steps of a move and the routes and request classes that are evaluated at each step. */
export interface MovePlan {
  /** Shares of the steps in percent, ascending; the last one is the share of the soak. */
  readonly shares: readonly number[];
  /** Minimum duration of a step. */
  readonly stepMs: number;
  /** Minimum duration of the soak. */
  readonly soakMs: number;
  /** Routes and request classes that need enough samples before each step. */
  readonly evaluatedRates: readonly RequestRate[];
  /** Routes and request classes with too few requests to be evaluated before the deadline. */
  readonly skippedRates: readonly RequestRate[];
}

/** Requests to the new version that a step needs for each evaluated route and request class. */
export const SAMPLES_PER_STEP = 20;
/** Share of the new version during the soak; the old version keeps enough requests for the comparison. */
export const SOAK_SHARE_PERCENT = 95;

/** Share of the first step, which detects severe faults with few requests. */
export const FIRST_SHARE_PERCENT = 2;
/** Requests to the new version that the first step needs over all routes and request classes. */
export const FIRST_STEP_SAMPLES = 20;

/** The shares are fixed, so that a new measurement of the request rates doesn't add steps. */
const SHARES_PERCENT = [FIRST_SHARE_PERCENT, 6, 12, 25, 50, SOAK_SHARE_PERCENT];
/** Smaller shares are early ones, which are omitted if collecting their samples would take too long. */
const MAX_EARLY_SHARE_PERCENT = 12;
const STEP_COUNT = SHARES_PERCENT.length;
/** Fraction of the total time that the soak takes, within its limits. */
const SOAK_FRACTION = 0.25;
/** Fraction of the total time that is reserved for steps that take longer than planned. */
const RESERVE_FRACTION = 0.15;
const MIN_STEP_MS = 6_000;
const MAX_STEP_MS = 600_000;
const MIN_SOAK_MS = 10_000;
const MAX_SOAK_MS = 900_000;
/** Time over which request rates are measured. */
const RATE_WINDOW_MS = 60_000;
const MS_PER_SECOND = 1_000;
const WHOLE_PERCENT = 100;

/**
 * Returns the request rates of a service by route and request class, summed over all versions.
 * @param evidence - Evidence of all entries.
 * @param service - Name of the service.
 * @param nowMs - Current wall clock time in milliseconds.
 */
export function getRequestRates(
  evidence: readonly VersionEvidence[],
  service: string,
  nowMs: number,
): readonly RequestRate[] {
  const recent = evidence.filter(window => window.windowStartMs >= nowMs - RATE_WINDOW_MS);
  return [...groupByRouteAndClass(recent, service).values()].map(group => {
    const {route, requestClass} = group[0];
    const requests = group.reduce((sum, window) => sum + window.requests, 0);
    const oldestMs = Math.min(...group.map(window => window.windowStartMs));
    const spanMs = Math.max(nowMs - oldestMs, MS_PER_SECOND);
    return {route, requestClass, requestsPerSecond: (requests * MS_PER_SECOND) / spanMs};
  });
}

/**
 * Plans the steps of a move so that the ramp and the soak fit into its time.
 * @param totalMs - Time from the start of the move to its deadline.
 * @param rates - Request rates of the service's routes and request classes.
 */
export function planMove(totalMs: number, rates: readonly RequestRate[]): MovePlan {
  const soakMs = clamp(totalMs * SOAK_FRACTION, MIN_SOAK_MS, MAX_SOAK_MS);
  const rampMs = totalMs * (1 - RESERVE_FRACTION) - soakMs;
  const stepMs = clamp(rampMs / (STEP_COUNT - 1), MIN_STEP_MS, MAX_STEP_MS);
  const evaluatedRates = rates.filter(rate => hasEnoughRequests(rate, rampMs));
  const skippedRates = rates.filter(rate => !evaluatedRates.includes(rate));
  const shares = getShares(rates, evaluatedRates, stepMs);
  return {shares, stepMs, soakMs, evaluatedRates, skippedRates};
}

/**
 * Returns the minimum time in milliseconds from the end of the current step to the end of the soak.
 * @param plan - Plan of the move.
 * @param sharePercent - Share of the current step.
 */
export function getMinRemainingMs(plan: MovePlan, sharePercent: number): number {
  const stepsLeft = plan.shares.slice(0, -1).filter(share => share > sharePercent);
  const rampMs = stepsLeft.reduce((sum, share) => sum + getMinStepMs(plan, share), 0);
  return rampMs + plan.soakMs;
}

function getMinStepMs({evaluatedRates}: MovePlan, sharePercent: number): number {
  const isFirst = sharePercent <= FIRST_SHARE_PERCENT;
  return Math.max(
    MIN_STEP_MS,
    isFirst ? getFirstStepMs(evaluatedRates) : getSamplingMs(evaluatedRates, sharePercent),
  );
}

/**
 * Returns whether a route and request class would collect a step's samples within half of the ramp at an early share.
 */
function hasEnoughRequests(rate: RequestRate, rampMs: number): boolean {
  return (
    getSamplingMs([rate], MAX_EARLY_SHARE_PERCENT) <= Math.max(rampMs, MIN_STEP_MS * STEP_COUNT) / 2
  );
}

/** Returns the shares of the steps; omits early ones at which collecting the samples would take longer than a step. */
function getShares(
  rates: readonly RequestRate[],
  evaluatedRates: readonly RequestRate[],
  stepMs: number,
): readonly number[] {
  return SHARES_PERCENT.filter(share => {
    if (share >= MAX_EARLY_SHARE_PERCENT) return true;
    if (share === FIRST_SHARE_PERCENT) return getFirstStepMs(rates) <= stepMs;
    return getSamplingMs(evaluatedRates, share) <= stepMs;
  });
}

function getFirstStepMs(rates: readonly RequestRate[]): number {
  const perSecond = rates.reduce((sum, {requestsPerSecond}) => sum + requestsPerSecond, 0);
  if (perSecond === 0) return MIN_STEP_MS;
  const samplingMs = (FIRST_STEP_SAMPLES * MS_PER_SECOND * WHOLE_PERCENT) / FIRST_SHARE_PERCENT;
  return Math.max(MIN_STEP_MS, samplingMs / perSecond);
}

/**
 * Returns the time in milliseconds in which the route and class with the lowest rate collects a step's samples at a
 * share.
 */
function getSamplingMs(rates: readonly RequestRate[], sharePercent: number): number {
  const timesMs = rates.map(
    ({requestsPerSecond}) =>
      (SAMPLES_PER_STEP * MS_PER_SECOND) / (requestsPerSecond * (sharePercent / WHOLE_PERCENT)),
  );
  return Math.max(0, ...timesMs);
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(Math.max(value, min), max);
}
