/** Decides the next step of a version move: a larger share, the soak, its end, or taking it back. */
import type {Move, MovePhase, VersionEvidence} from '../../blackboard/index.js';
import {isMoveEnded} from '../../folds/index.js';
import {
  FIRST_SHARE_PERCENT,
  FIRST_STEP_SAMPLES,
  getLeastRemainingMs,
  getRequestRates,
  planMove,
  SAMPLES_PER_STEP,
  SOAK_SHARE_PERCENT,
  type MovePlan,
  type RequestRate,
} from './MovePlan.js';
import {
  getGroupKey,
  getShownFault,
  groupByRouteAndClass,
  type ShownFault,
} from './VersionVerdict.js';

/** What the decision about a move reads. */
export interface MoveView {
  readonly move: Move;
  /** Evidence of all entries since the move started, as far as it is kept. */
  readonly evidence: readonly VersionEvidence[];
  /** Part of the service's work that the new version's ready backend servers can bear. */
  readonly readyPercent: number;
}

/** A step to write to the log. */
export interface MoveStepEffect {
  readonly kind: 'propose-move-step';
  readonly moveId: string;
  readonly phase: MovePhase;
  readonly sharePercent: number;
  readonly reason?: string;
}

/** What to do about a move. */
export interface MoveDecision {
  /** Share that the new version needs capacity for: that of the step after next, as servers take a while to come. */
  readonly changes: {readonly wantedSharePercent: number};
  readonly effects: readonly MoveStepEffect[];
}

const DEADLINE_TOO_SHORT = 'deadline can not be met: steps and soak take longer at these rates';
const TOO_FEW_REQUESTS = 'deadline can not be met: too few requests to judge the new version by';
/** Evidence older than this says nothing about the present; the holder sees the entries no more. */
const FRESH_EVIDENCE_MS = 15_000;
/** A step is not taken for less than this. */
const LEAST_SHARE_CHANGE_PERCENT = 0.5;
const WHOLE_PERCENT = 100;
const MS_PER_SECOND = 1_000;

/**
 * Decides the next step of a move.
 * @param view - The move and what is known about it.
 * @param nowMs - Present time by the wall clock.
 */
export function decideMove(view: MoveView, nowMs: number): MoveDecision {
  const {move, evidence} = view;
  if (isMoveEnded(move)) return {changes: {wantedSharePercent: move.sharePercent}, effects: []};
  const fault = getShownFault(evidence, move, nowMs);
  if (fault) return takeBack(move, describeFault(fault));
  if (nowMs >= move.deadlineAtMs) return takeBack(move, describeMissedDeadline(view, nowMs));
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
  const laterShare = plan.shares.find(share => share > nextShare) ?? WHOLE_PERCENT;
  const changes = {wantedSharePercent: laterShare};
  if (allowedShare < move.sharePercent - LEAST_SHARE_CHANGE_PERCENT) {
    return {changes, effects: [step(move, 'running', allowedShare, 'too few ready servers')]};
  }
  const canAdvance = isStepShown(view, plan, nowMs) && allowedShare >= nextShare;
  if (canAdvance) {
    const phase = nextShare >= SOAK_SHARE_PERCENT ? 'soaking' : 'running';
    return {changes, effects: [step(move, phase, nextShare, reason)]};
  }
  if (reason === undefined || move.reason === reason) return {changes, effects: []};
  return {changes, effects: [step(move, 'running', move.sharePercent, reason)]};
}

/** The old version keeps a small share through the soak, as the new one has to be compared under the same load. */
function decideSoak(view: MoveView, plan: MovePlan, nowMs: number): MoveDecision {
  const {move, readyPercent} = view;
  const changes = {wantedSharePercent: WHOLE_PERCENT};
  const allowedShare = Math.min(SOAK_SHARE_PERCENT, readyPercent);
  if (Math.abs(allowedShare - move.sharePercent) > LEAST_SHARE_CHANGE_PERCENT) {
    return {changes, effects: [step(move, 'soaking', allowedShare, 'share follows ready servers')]};
  }
  const isOver = nowMs >= move.changedAtMs + plan.soakMs;
  if (!isOver || !isStepShown(view, plan, nowMs)) return {changes, effects: []};
  return {changes, effects: [step(move, 'done', WHOLE_PERCENT, describeUnjudged(plan.unjudged))]};
}

/** A step is shown where its time has passed, evidence is fresh, and each judged route and class has its samples. */
function isStepShown({move, evidence}: MoveView, plan: MovePlan, nowMs: number): boolean {
  if (move.sharePercent === 0) return hasFreshEvidence(evidence, move, nowMs);
  const stepMs = getStepMs(move, plan, nowMs);
  if (nowMs < move.changedAtMs + stepMs || plan.judged.length === 0) return false;
  if (!hasFreshEvidence(evidence, move, nowMs)) return false;
  if (move.sharePercent < FIRST_SHARE_PERCENT + LEAST_SHARE_CHANGE_PERCENT) {
    return getAllNewSamples(evidence, move) >= FIRST_STEP_SAMPLES;
  }
  return plan.judged.every(rate => getNewSamples(evidence, move, rate) >= SAMPLES_PER_STEP);
}

/** Steps get shorter where earlier ones took longer, so that the deadline can still be met. */
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

/** Counts the new version's requests since the last step. */
function getAllNewSamples(
  evidence: readonly VersionEvidence[],
  {service, toVersion, changedAtMs}: Move,
): number {
  return evidence
    .filter(window => window.service === service && window.version === toVersion)
    .filter(window => window.windowStartMs >= changedAtMs)
    .reduce((sum, window) => sum + window.requests, 0);
}

/** Counts the new version's requests of a route and class since the last step. */
function getNewSamples(
  evidence: readonly VersionEvidence[],
  {service, toVersion, changedAtMs}: Move,
  {route, requestClass}: RequestRate,
): number {
  const group = groupByRouteAndClass(evidence, service).get(getGroupKey({route, requestClass}));
  return (group ?? [])
    .filter(window => window.version === toVersion && window.windowStartMs >= changedAtMs)
    .reduce((sum, window) => sum + window.requests, 0);
}

function takeBack(move: Move, reason: string): MoveDecision {
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

function describeFault({fault, route, requestClass}: ShownFault): string {
  return `${fault} worse than of the old version on ${route} for ${requestClass}`;
}

function describeMissedDeadline({move}: MoveView, nowMs: number): string {
  const lateMs = nowMs - move.deadlineAtMs;
  const late = lateMs > MS_PER_SECOND ? ` (${toSeconds(lateMs)} s ago)` : '';
  return `not shown good by the deadline${late}; share was ${move.sharePercent} percent`;
}

/** Says early that a deadline can't be met, and what it would take. */
function describeLateness({move}: MoveView, plan: MovePlan, nowMs: number): string | undefined {
  const leftMs = move.deadlineAtMs - nowMs;
  if (plan.judged.length === 0 && plan.unjudged.length === 0) return undefined;
  if (plan.judged.length === 0) {
    return TOO_FEW_REQUESTS;
  }
  if (getLeastRemainingMs(plan, move.sharePercent) <= leftMs) return undefined;
  return DEADLINE_TOO_SHORT;
}

function describeUnjudged(unjudged: readonly RequestRate[]): string | undefined {
  if (unjudged.length === 0) return undefined;
  const names = unjudged.map(({route, requestClass}) => `${route} for ${requestClass}`);
  return `too few requests to judge ${names.join(', ')}`;
}

function toSeconds(durationMs: number): number {
  return Math.round(durationMs / MS_PER_SECOND);
}
