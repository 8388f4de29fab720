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
export {isWindowFinal, mergeEvidence} from './EvidenceMerge.js';
