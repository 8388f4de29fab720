/**
 * Decides the next step of a version move: a larger share for the new version, the soak at an almost full share, the
 * completion, or the rollback.
 */
import type {Move, MovePhase, VersionEvidence} from '../../blackboard/index.js';
import {isMoveEnded} from '../../folds/index.js';
import {
  FIRST_SHARE_PERCENT,
  FIRST_STEP_SAMPLES,
  getMinRemainingMs,
  getRequestRates,
  planMove,
  SAMPLES_PER_STEP,
  SOAK_SHARE_PERCENT,
  type MovePlan,
  type RequestRate,
} from './MovePlan.js';
import {
  getGroupKey,
  findRollbackFault,
  groupByRouteAndClass,
  type DetectedFault,
} from './detectVersionFaults.js';

/** Input of `decideMove`. */
export interface MoveView {
  readonly move: Move;
  /** Evidence of all entries since the start of the move, within its retention time. */
  readonly evidence: readonly VersionEvidence[];
  /** Share of the service's requests, in percent, for which the new version's ready backend servers have capacity. */
  readonly readyPercent: number;
}

/** A move step to append to the log. */
export interface MoveStepEffect {
  readonly kind: 'propose-move-step';
  readonly moveId: string;
  readonly phase: MovePhase;
  readonly sharePercent: number;
  readonly reason?: string;
}

/** Result of `decideMove`. */
export interface MoveDecision {
  /** Share for which the new version needs capacity: that of the step after next, since servers take time to start. */
  readonly changes: {readonly wantedSharePercent: number};
  readonly effects: readonly MoveStepEffect[];
}

const DEADLINE_TOO_SHORT = 'deadline can not be met: steps and soak take longer at these rates';
const TOO_FEW_REQUESTS = 'deadline can not be met: too few requests to judge the new version by';
/** Without evidence younger than this, the lease holder has lost contact to the entries and takes no further step. */
const FRESH_EVIDENCE_MS = 15_000;
/** Smaller changes of the share are not written as a step. */
const MIN_SHARE_CHANGE_PERCENT = 0.5;
const WHOLE_PERCENT = 100;
const MS_PER_SECOND = 1_000;

/**
 * Decides the next step of a move. A fault of the new version, or the deadline, rolls the move back from any step.
 * @param view - The move, its evidence, and the capacity of the new version.
 * @param nowMs - Current wall clock time in milliseconds.
 */
export function decideMove(view: MoveView, nowMs: number): MoveDecision {
  const {move, evidence} = view;
  if (isMoveEnded(move)) return {changes: {wantedSharePercent: move.sharePercent}, effects: []};
  const fault = findRollbackFault(evidence, move, nowMs);
  if (fault) return rollBack(move, describeFault(fault));
  if (nowMs >= move.deadlineAtMs) return rollBack(move, describeMissedDeadline(view, nowMs));
  const rates = getRequestRates(evidence, move.service, nowMs);
  const plan = planMove(move.deadlineAtMs - move.startedAtMs, rates);
  if (move.phase === 'soaking') return decideSoak(view, plan, nowMs);
  return decideRamp(view, plan, nowMs);
}

function decideRamp(view: MoveView, plan: MovePlan, nowMs: number): MoveDecision {
  const {move} = view;
  const nextShare = plan.shares.find(share => share > move.sharePercent) ?? SOAK_SHARE_PERCENT;
  const reason = describeLateness(view, plan, nowMs);
  const allowedShare = Math.min(nextShare, view.readyPercent);
  const shareAfterNext = plan.shares.find(share => share > nextShare) ?? WHOLE_PERCENT;
  const changes = {wantedSharePercent: shareAfterNext};
  if (allowedShare < move.sharePercent - MIN_SHARE_CHANGE_PERCENT) {
    return {changes, effects: [step(move, 'running', allowedShare, 'too few ready servers')]};
  }
  const canAdvance = isStepComplete(view, plan, nowMs) && allowedShare >= nextShare;
  if (canAdvance) {
    const phase = nextShare >= SOAK_SHARE_PERCENT ? 'soaking' : 'running';
    return {changes, effects: [step(move, phase, nextShare, reason)]};
  }
  if (reason === undefined || move.reason === reason) return {changes, effects: []};
  return {changes, effects: [step(move, 'running', move.sharePercent, reason)]};
}

/**
 * During the soak the old version keeps a small share, so that both versions can still be compared under the same load.
 */
function decideSoak(view: MoveView, plan: MovePlan, nowMs: number): MoveDecision {
  const {move, readyPercent} = view;
  const changes = {wantedSharePercent: WHOLE_PERCENT};
  const allowedShare = Math.min(SOAK_SHARE_PERCENT, readyPercent);
  if (Math.abs(allowedShare - move.sharePercent) > MIN_SHARE_CHANGE_PERCENT) {
    return {changes, effects: [step(move, 'soaking', allowedShare, 'share follows ready servers')]};
  }
  const isOver = nowMs >= move.changedAtMs + plan.soakMs;
  if (!isOver || !isStepComplete(view, plan, nowMs)) return {changes, effects: []};
  return {
    changes,
    effects: [step(move, 'done', WHOLE_PERCENT, describeSkippedRates(plan.skippedRates))],
  };
}

/**
 * Returns whether a step has lasted long enough, with recent evidence and enough samples of each evaluated route and
 * class.
 */
function isStepComplete({move, evidence}: MoveView, plan: MovePlan, nowMs: number): boolean {
  if (move.sharePercent === 0) return hasFreshEvidence(evidence, move, nowMs);
  const stepMs = getStepMs(move, plan, nowMs);
  if (nowMs < move.changedAtMs + stepMs || plan.evaluatedRates.length === 0) return false;
  if (!hasFreshEvidence(evidence, move, nowMs)) return false;
  if (move.sharePercent < FIRST_SHARE_PERCENT + MIN_SHARE_CHANGE_PERCENT) {
    return countAllNewRequests(evidence, move) >= FIRST_STEP_SAMPLES;
  }
  return plan.evaluatedRates.every(
    rate => countNewRequests(evidence, move, rate) >= SAMPLES_PER_STEP,
  );
}

/**
 * Returns the duration of the current step; steps get shorter if earlier ones took longer, so that the deadline can be
 * met.
 */
function getStepMs(move: Move, plan: MovePlan, nowMs: number): number {
  if (move.phase === 'soaking') return plan.soakMs;
  const stepsLeft = Math.max(plan.shares.filter(share => share >= move.sharePercent).length - 1, 1);
  const timeLeftMs = move.deadlineAtMs - nowMs - plan.soakMs;
  return Math.min(plan.stepMs, Math.max(timeLeftMs / stepsLeft, 0));
}

function hasFreshEvidence(
  evidence: readonly VersionEvidence[],
  {service}: Move,
  nowMs: number,
): boolean {
  return evidence.some(
    window => window.service === service && window.windowStartMs >= nowMs - FRESH_EVIDENCE_MS,
  );
}

/** Counts the requests of the new version since the last step, over all routes and request classes. */
function countAllNewRequests(
  evidence: readonly VersionEvidence[],
  {service, toVersion, changedAtMs}: Move,
): number {
  return evidence
    .filter(window => window.service === service && window.version === toVersion)
    .filter(window => window.windowStartMs >= changedAtMs)
    .reduce((sum, window) => sum + window.requests, 0);
}

/** Counts the requests of the new version since the last step, for one route and request class. */
function countNewRequests(
  evidence: readonly VersionEvidence[],
  {service, toVersion, changedAtMs}: Move,
  {route, requestClass}: RequestRate,
): number {
  const group = groupByRouteAndClass(evidence, service).get(getGroupKey({route, requestClass}));
  return (group ?? [])
    .filter(window => window.version === toVersion && window.windowStartMs >= changedAtMs)
    .reduce((sum, window) => sum + window.requests, 0);
}

function rollBack(move: Move, reason: string): MoveDecision {
  return {changes: {wantedSharePercent: 0}, effects: [step(move, 'taken-back', 0, reason)]};
}

function step(
  {moveId}: Move,
  phase: MovePhase,
  sharePercent: number,
  reason: string | undefined,
): MoveStepEffect {
  return {kind: 'propose-move-step', moveId, phase, sharePercent, reason};
}

function describeFault({fault, route, requestClass}: DetectedFault): string {
  return `${fault} worse than of the old version on ${route} for ${requestClass}`;
}

function describeMissedDeadline({move}: MoveView, nowMs: number): string {
  const lateMs = nowMs - move.deadlineAtMs;
  const late = lateMs > MS_PER_SECOND ? ` (${toSeconds(lateMs)} s ago)` : '';
  return `not shown good by the deadline${late}; share was ${move.sharePercent} percent`;
}

/** Returns why the deadline can't be met, which operators learn before it passes; undefined if it can be met. */
function describeLateness({move}: MoveView, plan: MovePlan, nowMs: number): string | undefined {
  const remainingMs = move.deadlineAtMs - nowMs;
  if (plan.evaluatedRates.length === 0 && plan.skippedRates.length === 0) return undefined;
  if (plan.evaluatedRates.length === 0) {
    return TOO_FEW_REQUESTS;
  }
  if (getMinRemainingMs(plan, move.sharePercent) <= remainingMs) return undefined;
  return DEADLINE_TOO_SHORT;
}

function describeSkippedRates(skippedRates: readonly RequestRate[]): string | undefined {
  if (skippedRates.length === 0) return undefined;
  const names = skippedRates.map(({route, requestClass}) => `${route} for ${requestClass}`);
  return `too few requests to judge ${names.join(', ')}`;
}

function toSeconds(durationMs: number): number {
  return Math.round(durationMs / MS_PER_SECOND);
}
