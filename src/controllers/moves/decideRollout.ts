/**
 * Decides the next step of a roll-out whose deadline is seconds away. The target version gets a small share until
 * shortly before the deadline, so that a version that turns bad late has met few requests as well; then the share rises
 * in short steps, and at last the other versions' requests are given time to end, since their servers stop at `done`.
 */
import {getRowStartMs, type EvidenceRow} from './FleetEvidence.js';
import {findRolloutFault, type RolloutFault} from './findRolloutFault.js';
import {isFinalStep, type RolloutPhase, type RolloutStep} from './RolloutStep.js';

/** How many requests a bad version may get: a share of the service's requests, and some more. */
export interface ExposureLimits {
  readonly share: number;
  readonly slack: number;
}

/** Input of `decideRollout`. All times are Unix times in milliseconds. */
export interface RolloutView {
  readonly step: RolloutStep;
  readonly deadlineAtMs: number;
  /** Rows of this roll-out over all gateways, since its start. */
  readonly evidence: readonly EvidenceRow[];
  readonly limits: ExposureLimits;
  /** Servers of the target version, and of the others, that may get requests. */
  readonly targetServers: number;
  readonly otherServers: number;
  /** Requests that are open at the servers of the other versions. */
  readonly otherOpenRequests: number;
  /** Whether the service streams its responses, so that requests stay open for long. */
  readonly isStreamed: boolean;
}

/** The next step, or the same one. */
export interface RolloutDecision {
  readonly phase: RolloutPhase;
  readonly sharePercent: number;
  /** Why the step is taken; undefined if nothing changes. */
  readonly reason: string | undefined;
}

/** Shares of the steps before the deadline, and how long each lasts. */
const RAMP_PERCENTS = [25, 50] as const;
const RAMP_STEP_MS = 1_200;
const WHOLE_PERCENT = 100;
/** Time by which the steps may be late altogether, since they wait for results and are decided at intervals. */
const RAMP_RESERVE_MS = 700;
/** Time before the deadline at which the verdict is due, since it still has to be written. */
const VERDICT_MARGIN_MS = 1_000;
/** Time for which the other versions' requests are given to end, with all new ones at the target version. */
const PLAIN_DRAIN_MS = 800;
const STREAM_DRAIN_MS = 2_000;
/** After this time without open requests at the other versions, their servers may stop. */
const MIN_DRAIN_MS = 500;
/** Results of the target version without which its quality is unknown. */
const MIN_SAMPLES = 12;
/** Results of the target version for which its share is raised above the exposure limit's, if the rate is low. */
const ENOUGH_SAMPLES = 2 * MIN_SAMPLES;
/** Results of the target version that each step of the ramp needs. */
const MIN_STEP_SAMPLES = 3;
/** The first share, until the request rate is known, and the largest one at which the version is judged. */
const FIRST_PERCENT = 4;
const MAX_FIRST_PERCENT = 50;
/** Share of the exposure limits that is planned for; the rest covers gateways that differ and requests in flight. */
const PLANNED_EXPOSURE = 0.85;
/** Least share as a part of the exposure limit's. */
const LEAST_SHARE_OF_LIMIT = 0.4;
/** Time after which the request rate is known. */
const MIN_RATE_MS = 2_000;
const MIN_SHARE_CHANGE_PERCENT = 3;
const MS_PER_SECOND = 1_000;
const DONE = {phase: 'done', sharePercent: WHOLE_PERCENT} as const;

/**
 * Decides the next step of a roll-out.
 * @param nowMs - Unix time in milliseconds.
 */
export function decideRollout(view: RolloutView, nowMs: number): RolloutDecision {
  const {step, evidence, targetServers} = view;
  if (isFinalStep(step)) return keep(step);
  const fault = findRolloutFault(evidence, step.sharePercent < WHOLE_PERCENT, nowMs);
  if (fault) return rollBack(describeFault(fault));
  if (step.sharePercent >= WHOLE_PERCENT) return decideDrain(view, nowMs);
  if (isOnlyVersion(view)) return {...DONE, reason: 'no server of another version'};
  if (nowMs >= view.deadlineAtMs - VERDICT_MARGIN_MS) {
    return rollBack('not shown good by the deadline');
  }
  if (targetServers === 0) return share(step, 0, 'no server of the target version');
  const dueRamp = getDueRamp(view, nowMs);
  if (dueRamp < 0) return decideFirstShare(view, nowMs);
  if (countTargetResults(evidence, step.startedAtMs) < MIN_SAMPLES) {
    return decideFirstShare(view, nowMs);
  }
  return decideRamp(view, dueRamp, nowMs);
}

/** Raises the share by one step if that is due, and if the target version has been seen since the previous step. */
function decideRamp({step, evidence}: RolloutView, dueRamp: number, nowMs: number) {
  const reached = RAMP_PERCENTS.filter(percent => percent <= step.sharePercent).length;
  const isSettled = nowMs - step.changedAtMs >= RAMP_STEP_MS;
  const isSeen = countTargetResults(evidence, step.changedAtMs) >= MIN_STEP_SAMPLES;
  const canLeave = reached === 0 || (isSettled && isSeen);
  if (reached > dueRamp || !canLeave) return keep(step);
  return share(step, RAMP_PERCENTS[reached] ?? WHOLE_PERCENT, 'no fault so far');
}

/** The share at which the target version is judged, so that the whole roll-out stays within the exposure limits. */
function decideFirstShare(view: RolloutView, nowMs: number): RolloutDecision {
  const {step} = view;
  const percent = getFirstPercent(view, nowMs);
  if (Math.abs(percent - step.sharePercent) < MIN_SHARE_CHANGE_PERCENT) return keep(step);
  return share(step, percent, 'share at which the version is judged');
}

function getFirstPercent(
  {step, evidence, limits, deadlineAtMs, isStreamed}: RolloutView,
  nowMs: number,
): number {
  if (nowMs - step.startedAtMs < MIN_RATE_MS) return FIRST_PERCENT;
  const perMs = getRequestsPerMs(evidence, step.startedAtMs, nowMs);
  const durationMs = deadlineAtMs - step.startedAtMs;
  const judgedMs = Math.max(1, getRampStartMs(durationMs, isStreamed));
  const allowed = PLANNED_EXPOSURE * (limits.share * perMs * durationMs + limits.slack);
  const rampMs = RAMP_PERCENTS.reduce(
    (total, percent) => total + (percent / WHOLE_PERCENT) * RAMP_STEP_MS,
    0,
  );
  const left = allowed - (rampMs + getDrainMs(isStreamed)) * perMs;
  const allowedPercent = (WHOLE_PERCENT * left) / (perMs * judgedMs);
  const neededPercent = (WHOLE_PERCENT * ENOUGH_SAMPLES) / (perMs * judgedMs);
  const usefulPercent = Math.max(neededPercent, limits.share * WHOLE_PERCENT);
  const leastPercent = LEAST_SHARE_OF_LIMIT * limits.share * WHOLE_PERCENT;
  const percent = Math.min(allowedPercent, usefulPercent, MAX_FIRST_PERCENT);
  return Math.max(percent, leastPercent);
}

/** Returns the rate of results since the start, or since the oldest kept ones. */
function getRequestsPerMs(
  evidence: readonly EvidenceRow[],
  startedAtMs: number,
  nowMs: number,
): number {
  const requests = evidence.reduce((total, row) => total + row.requests, 0);
  const oldestMs = Math.min(...evidence.map(getRowStartMs), nowMs);
  const sinceMs = nowMs - Math.max(startedAtMs, oldestMs);
  return Math.max(1, requests) / Math.max(MIN_RATE_MS, sinceMs);
}

/** Ends the roll-out once the other versions' requests have ended, or when the verdict is due. */
function decideDrain({step, deadlineAtMs, otherOpenRequests}: RolloutView, nowMs: number) {
  const isDrained = otherOpenRequests === 0 && nowMs - step.changedAtMs >= MIN_DRAIN_MS;
  if (!isDrained && nowMs < deadlineAtMs - VERDICT_MARGIN_MS) return keep(step);
  return {...DONE, reason: 'no fault, and all requests moved'};
}

/** Returns whether the service has run no other version since the order. */
function isOnlyVersion({step, evidence, targetServers, otherServers}: RolloutView): boolean {
  const hasOthers = otherServers > 0 || evidence.some(({isTarget}) => !isTarget);
  return !hasOthers && targetServers > 0 && step.sharePercent === 0;
}

/** Returns the number of the ramp's step that is due, from 0; -1 before the first. */
function getDueRamp({step, deadlineAtMs, isStreamed}: RolloutView, nowMs: number): number {
  const startMs = step.startedAtMs + getRampStartMs(deadlineAtMs - step.startedAtMs, isStreamed);
  return Math.floor((nowMs - startMs) / RAMP_STEP_MS);
}

function getRampStartMs(durationMs: number, isStreamed: boolean): number {
  const endMs = VERDICT_MARGIN_MS + getDrainMs(isStreamed) + RAMP_RESERVE_MS;
  return durationMs - endMs - RAMP_PERCENTS.length * RAMP_STEP_MS;
}

function getDrainMs(isStreamed: boolean): number {
  return isStreamed ? STREAM_DRAIN_MS : PLAIN_DRAIN_MS;
}

function countTargetResults(evidence: readonly EvidenceRow[], sinceMs: number): number {
  return evidence
    .filter(row => row.isTarget && getRowStartMs(row) + MS_PER_SECOND > sinceMs)
    .reduce((total, row) => total + row.requests, 0);
}

function keep({phase, sharePercent}: RolloutStep): RolloutDecision {
  return {phase, sharePercent, reason: undefined};
}

function share(step: RolloutStep, sharePercent: number, reason: string): RolloutDecision {
  if (sharePercent === step.sharePercent) return keep(step);
  return {phase: 'running', sharePercent, reason};
}

function rollBack(reason: string): RolloutDecision {
  return {phase: 'rolled-back', sharePercent: 0, reason};
}

function describeFault(fault: RolloutFault): string {
  const {targetErrors, targetRequests, otherErrors, otherRequests} = fault;
  return `${fault.fault} worse than of the other versions: ${targetErrors} errors of ${targetRequests} against ${otherErrors} of ${otherRequests}`;
}
