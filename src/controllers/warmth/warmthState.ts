/** Estimate of a backend server's warmth from the latency of its responses, its load reports and its cache events. */
import type {Warmth} from '../../blackboard/index.js';

/** Estimated warmth of a backend server, as seen by one entry. */
export interface WarmthState {
  /** Warmth level from 0, just started, to 1, warm. */
  readonly level: number;
  /** Whether the server seems to have become cold without a restart; cleared when the level reaches 1 again. */
  readonly isSuspect: boolean;
  /** Consecutive first tokens that were slow for their prediction. */
  readonly consecutiveSlow: number;
  /** Time of the last load report, or of the server's first appearance. */
  readonly lastReportAtMs: number;
}

/** An observation that changes the estimate. */
export type WarmthObservation =
  | {
      readonly kind: 'first-token';
      readonly expectedMs: number;
      readonly observedMs: number;
      /** Whether the attempt was aborted before its response was complete; it then doesn't raise the level. */
      readonly isAborted?: boolean;
    }
  | {
      readonly kind: 'load-report';
      readonly runningRequests: number;
      /** Most concurrent requests of a cold and of a warm server of the service. */
      readonly coldRequests: number;
      readonly warmRequests: number;
    }
  | {readonly kind: 'cache-cleared'}
  | {readonly kind: 'silent'}
  | {readonly kind: 'reported-cold'};

type LoadReportObservation = Extract<WarmthObservation, {kind: 'load-report'}>;

/** Warmth level up to which a server gets no more concurrent requests than a cold one. */
export const GROWTH_START_LEVEL = 0.5;

/** Complete responses in time after which a server is warm. */
const SERVED_REQUESTS_TO_WARM = 24;
/** Busy time in load reports after which a server is warm for entries that don't send it requests themselves. */
const BUSY_MS_TO_WARM = 60_000;
/** Longest time between two load reports that is counted as busy. */
const MAX_REPORT_INTERVAL_MS = 2_000;
/** A first token is slow if it takes longer than this multiple of the prediction plus the margin. */
const SLOW_FACTOR = 3;
const SLOW_MARGIN_MS = 200;
/** Consecutive slow first tokens after which a server is considered cold again. */
const CONSECUTIVE_SLOW_TO_SUSPECT = 3;
/** Warmth level from which on a server is called warming instead of cold. */
const WARMING_LEVEL = 0.25;
/** Tolerance for the floating-point error of adding up fractions of the level. */
const ROUNDING_TOLERANCE = 1e-6;

/** Returns the state of a backend server that has just been discovered: cold, not suspect. */
export function createWarmth(nowMs: number): WarmthState {
  return {level: 0, isSuspect: false, consecutiveSlow: 0, lastReportAtMs: nowMs};
}

/** Returns the state after an observation. */
export function updateWarmth(
  state: WarmthState,
  observation: WarmthObservation,
  nowMs: number,
): WarmthState {
  switch (observation.kind) {
    case 'first-token':
      return applyFirstToken(state, observation);
    case 'load-report':
      return applyLoadReport(state, observation, nowMs);
    case 'cache-cleared':
    case 'silent':
    case 'reported-cold':
      return turnCold(state);
  }
}

/** Returns the warmth of a state for use outside this module; a suspect below level 1 is `suspect` at any level. */
export function getWarmthName({level, isSuspect}: WarmthState): Warmth {
  if (level >= 1) return 'warm';
  if (isSuspect) return 'suspect';
  return level >= WARMING_LEVEL ? 'warming' : 'cold';
}

function turnCold(state: WarmthState): WarmthState {
  return {...state, level: 0, isSuspect: true, consecutiveSlow: 0};
}

function applyFirstToken(
  state: WarmthState,
  {expectedMs, observedMs, isAborted}: Extract<WarmthObservation, {kind: 'first-token'}>,
): WarmthState {
  const isSlow = observedMs > expectedMs * SLOW_FACTOR + SLOW_MARGIN_MS;
  if (!isSlow) {
    return raiseLevel({...state, consecutiveSlow: 0}, isAborted ? 0 : 1 / SERVED_REQUESTS_TO_WARM);
  }
  const consecutiveSlow = state.consecutiveSlow + 1;
  if (consecutiveSlow >= CONSECUTIVE_SLOW_TO_SUSPECT && state.level > 0) return turnCold(state);
  return {...state, consecutiveSlow};
}

/**
 * Raises the level by the busy time since the last report. A server that runs more requests than a cold one may is at
 * least as warm as the entries that send them believe; unless it is suspect, since the load may predate the suspicion.
 */
function applyLoadReport(
  state: WarmthState,
  report: LoadReportObservation,
  nowMs: number,
): WarmthState {
  const {runningRequests} = report;
  const intervalMs = Math.min(MAX_REPORT_INTERVAL_MS, nowMs - state.lastReportAtMs);
  const busyFraction = runningRequests > 0 ? intervalMs / BUSY_MS_TO_WARM : 0;
  const level = Math.max(state.level, state.isSuspect ? 0 : getMinLevelForLoad(report));
  return raiseLevel({...state, level, lastReportAtMs: nowMs}, busyFraction);
}

/** Returns the level at which the number of running requests is allowed; 0 if a cold server may have as many. */
function getMinLevelForLoad({
  runningRequests,
  coldRequests,
  warmRequests,
}: LoadReportObservation): number {
  if (runningRequests <= coldRequests) return 0;
  const requestRange = Math.max(1, warmRequests - coldRequests);
  const grownFraction = (runningRequests - coldRequests) / requestRange;
  return GROWTH_START_LEVEL + (1 - GROWTH_START_LEVEL) * grownFraction;
}

function raiseLevel(state: WarmthState, fraction: number): WarmthState {
  const sum = Math.max(0, state.level + fraction);
  const level = sum > 1 - ROUNDING_TOLERANCE ? 1 : sum;
  return {...state, level, isSuspect: state.isSuspect && level < 1};
}
