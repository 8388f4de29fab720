/** Encodes and decodes the steps and results of roll-outs in gossip datagrams. */
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {DurationMoments, LoadBand, PrefillBand} from '../blackboard/index.js';
import {NO_DURATIONS} from '../controllers/moves/DurationMoments.js';
import type {EvidenceRow} from '../controllers/moves/FleetEvidence.js';
import type {RolloutPhase, RolloutStep} from '../controllers/moves/RolloutStep.js';
import {
  RolloutPhase as PhaseMessage,
  type DurationMoments as DurationMomentsMessage,
  type RolloutResults,
  type RolloutResultsSchema,
  type RolloutStep as RolloutStepMessage,
  type RolloutStepSchema,
} from '../peer/generated/buckthorn/gossip/v1/gossip_pb.js';

const LOAD_BANDS: readonly LoadBand[] = ['low', 'medium', 'high'];
const PREFILL_BANDS: readonly PrefillBand[] = ['tiny', 'short', 'long', 'huge'];
const PHASES: Readonly<Record<RolloutPhase, PhaseMessage>> = {
  running: PhaseMessage.RUNNING,
  done: PhaseMessage.DONE,
  'rolled-back': PhaseMessage.ROLLED_BACK,
};

/** Encodes a step. */
export function toRolloutStep(step: RolloutStep): MessageInitShape<typeof RolloutStepSchema> {
  return {
    ...step,
    phase: PHASES[step.phase],
    startedAtMs: BigInt(Math.round(step.startedAtMs)),
    changedAtMs: BigInt(Math.round(step.changedAtMs)),
    token: BigInt(step.token),
  };
}

/** Decodes a step; returns undefined if its phase is unknown or its share is none. */
export function fromRolloutStep(message: RolloutStepMessage): RolloutStep | undefined {
  const {service, targetVersion, sharePercent, number} = message;
  const phase = getPhase(message.phase);
  if (phase === undefined || !(sharePercent >= 0 && sharePercent <= 100)) return undefined;
  return {
    service,
    targetVersion,
    phase,
    sharePercent,
    startedAtMs: Number(message.startedAtMs),
    changedAtMs: Number(message.changedAtMs),
    token: Number(message.token),
    number,
  };
}

/** Encodes results. */
export function toRolloutResults(row: EvidenceRow): MessageInitShape<typeof RolloutResultsSchema> {
  const {loadBand, prefillBand, firstEvent, interEvent, ...fields} = row;
  return {
    ...fields,
    loadBand: LOAD_BANDS.indexOf(loadBand),
    prefillBand: PREFILL_BANDS.indexOf(prefillBand),
    firstEvent: toMoments(firstEvent),
    interEvent: toMoments(interEvent),
  };
}

/** Decodes results. */
export function fromRolloutResults(message: RolloutResults): EvidenceRow {
  const {window, rolloutKey, isTarget, routeKey, lostServerKey, requests, errors} = message;
  return {
    window,
    rolloutKey,
    isTarget,
    routeKey,
    loadBand: LOAD_BANDS[message.loadBand] ?? 'high',
    prefillBand: PREFILL_BANDS[message.prefillBand] ?? 'huge',
    lostServerKey,
    requests,
    errors,
    firstEvent: fromMoments(message.firstEvent),
    interEvent: fromMoments(message.interEvent),
  };
}

function getPhase(message: PhaseMessage): RolloutPhase | undefined {
  const phases: readonly RolloutPhase[] = ['running', 'done', 'rolled-back'];
  return phases.find(phase => PHASES[phase] === message);
}

function toMoments({
  count,
  sumLogMs,
  sumSquaredLogMs,
}: DurationMoments): Omit<DurationMomentsMessage, '$typeName'> | undefined {
  return count === 0 ? undefined : {count, sumLog: sumLogMs, sumSquaredLog: sumSquaredLogMs};
}

function fromMoments(message: DurationMomentsMessage | undefined): DurationMoments {
  if (!message) return NO_DURATIONS;
  return {count: message.count, sumLogMs: message.sumLog, sumSquaredLogMs: message.sumSquaredLog};
}
