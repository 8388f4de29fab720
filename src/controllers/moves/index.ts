export {
  EVIDENCE_KEPT_MS,
  EVIDENCE_WINDOW_MS,
  EvidenceRecorder,
  getLoadBand,
  getPrefillBand,
  type TrySample,
} from './EvidenceRecorder.js';
export type {Fault} from './EvidenceComparison.js';
export {getVersionShares} from './VersionShares.js';
export {
  decideLocalBrake,
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
