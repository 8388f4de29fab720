export {MoveModel} from './MoveModel.js';
export {
  createLinearRamp,
  EVIDENCE_POLICY,
  type LinearRampOptions,
  type MovePolicy,
} from './MovePolicy.js';
export type {Disturbance, MoveRun, MoveRunResult, VersionKind} from './MoveRun.js';
export {createMovesReport} from './MovesReport.js';
export {
  runMovesExperiment,
  type MoveRecord,
  type MovesExperimentOptions,
} from './MovesExperiment.js';
