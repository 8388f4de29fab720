/** How warm a backend server is, from what it has served and what it reports. */
import type {Warmth} from '../../blackboard/index.js';

/** What an entry knows of a backend server's warmth. */
export interface WarmthState {
  /** From 0, just started, to 1, warm. */
  readonly levelPart: number;
  /** Whether a sign of a silent turn to cold stands. */
  readonly isSuspect: boolean;
  readonly slowInRow: number;
  readonly lastReportAtMs: number;
}

/** What is learned of a backend server. */
export type WarmthObservation =
  | {
      readonly kind: 'first-token';
      readonly expectedMs: number;
      readonly observedMs: number;
      /** Whether the try ended before its answer did, so that it warmed nothing. */
      readonly isBroken?: boolean;
    }
  | {
      readonly kind: 'load-report';
      readonly runningRequests: number;
      /** Requests that a cold and a warm server of the service take. */
      readonly coldRequests: number;
      readonly warmRequests: number;
    }
  | {readonly kind: 'cache-cleared'}
  | {readonly kind: 'silent'}
  | {readonly kind: 'reported-cold'};

type LoadReportObservation = Extract<WarmthObservation, {kind: 'load-report'}>;

/** Level up to which a server gets no more than a cold one. */
export const GROWTH_START_PART = 0.5;

const SERVED_REQUESTS_TO_WARM = 24;
/** Time of reported work after which a server counts as warm for entries that don't use it themselves. */
const BUSY_MS_TO_WARM = 60_000;
/** Longest time between two reports that counts as work in between. */
const MAX_REPORT_INTERVAL_MS = 2_000;
const SLOW_FACTOR = 3;
const SLOW_MARGIN_MS = 200;
const SLOW_IN_ROW_TO_SUSPECT = 3;
const WARMING_LEVEL_PART = 0.25;
/** Error of adding up parts of the level. */
const ROUNDING = 1e-6;

/** Returns the state of a backend server that has just appeared. */
export function createWarmth(nowMs: number): WarmthState {
  return {levelPart: 0, isSuspect: false, slowInRow: 0, lastReportAtMs: nowMs};
}

/**
 * Returns the state after an observation.
 * @param state - State before it.
 * @param observation - What was learned.
 * @param nowMs - Present time.
 */
export function updateWarmth(
  state: WarmthState,
  observation: WarmthObservation,
  nowMs: number,
): WarmthState {
  switch (observation.kind) {
    case 'first-token':
      return addFirstToken(state, observation);
    case 'load-report':
      return addLoadReport(state, observation, nowMs);
    case 'cache-cleared':
    case 'silent':
    case 'reported-cold':
      return turnCold(state);
  }
}

/** Returns the name of a state. */
export function getWarmthName({levelPart, isSuspect}: WarmthState): Warmth {
  if (levelPart >= 1) return 'warm';
  if (isSuspect) return 'suspect';
  return levelPart >= WARMING_LEVEL_PART ? 'warming' : 'cold';
}

function turnCold(state: WarmthState): WarmthState {
  return {...state, levelPart: 0, isSuspect: true, slowInRow: 0};
}

function addFirstToken(
  state: WarmthState,
  {expectedMs, observedMs, isBroken}: Extract<WarmthObservation, {kind: 'first-token'}>,
): WarmthState {
  const isSlow = observedMs > expectedMs * SLOW_FACTOR + SLOW_MARGIN_MS;
  if (!isSlow) {
    return addLevel({...state, slowInRow: 0}, isBroken ? 0 : 1 / SERVED_REQUESTS_TO_WARM);
  }
  const slowInRow = state.slowInRow + 1;
  if (slowInRow >= SLOW_IN_ROW_TO_SUSPECT && state.levelPart > 0) return turnCold(state);
  return {...state, slowInRow};
}

/** A server that runs more than a cold one may was found warm by those who use it. */
function addLoadReport(
  state: WarmthState,
  report: LoadReportObservation,
  nowMs: number,
): WarmthState {
  const {runningRequests} = report;
  const sinceMs = Math.min(MAX_REPORT_INTERVAL_MS, nowMs - state.lastReportAtMs);
  const busyPart = runningRequests > 0 ? sinceMs / BUSY_MS_TO_WARM : 0;
  const levelPart = Math.max(state.levelPart, state.isSuspect ? 0 : getProvenLevel(report));
  return addLevel({...state, levelPart, lastReportAtMs: nowMs}, busyPart);
}

/** Returns the level at which as many requests as run there are allowed. */
function getProvenLevel({
  runningRequests,
  coldRequests,
  warmRequests,
}: LoadReportObservation): number {
  if (runningRequests <= coldRequests) return 0;
  const spanRequests = Math.max(1, warmRequests - coldRequests);
  const grownPart = (runningRequests - coldRequests) / spanRequests;
  return GROWTH_START_PART + (1 - GROWTH_START_PART) * grownPart;
}

function addLevel(state: WarmthState, part: number): WarmthState {
  const sum = Math.max(0, state.levelPart + part);
  const levelPart = sum > 1 - ROUNDING ? 1 : sum;
  return {...state, levelPart, isSuspect: state.isSuspect && levelPart < 1};
}
