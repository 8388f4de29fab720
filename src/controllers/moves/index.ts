export {
  EVIDENCE_RETENTION_MS,
  EVIDENCE_WINDOW_MS,
  EvidenceRecorder,
  getLoadBand,
  getPrefillBand,
  type AttemptSample,
} from './EvidenceRecorder.js';
export type {Fault} from './EvidenceComparison.js';
export {getVersionShares} from './VersionShares.js';
export {
  findCircuitBreakerFault,
  findRollbackFault,
  type DetectedFault,
  type VersionPair,
} from './detectVersionFaults.js';
export {
  decideMove,
  type MoveDecision,
  type MoveStepEffect,
  type MoveView,
} from './MoveController.js';
export {
  decideRollout,
  type ExposureLimits,
  type RolloutDecision,
  type RolloutView,
} from './decideRollout.js';
export {
  FleetEvidence,
  getRolloutKey,
  type EvidenceRow,
  type EvidenceSubject,
  type RolloutSample,
} from './FleetEvidence.js';
export {isFinalStep, replacesStep, type RolloutPhase, type RolloutStep} from './RolloutStep.js';
export {isWindowFinal, mergeEvidence} from './EvidenceMerge.js';
