export {markDrainingInstances, type InstanceDrain} from './DrainFold.js';
export {ClaimsFold, DEFAULT_CLAIM_RETENTION_MS, type ClaimsFoldOptions} from './ClaimsFold.js';
export {ConfigurationFold, type ConfigurationRecordResult} from './ConfigurationFold.js';
export {FleetFold} from './FleetFold.js';
export type {FleetRejection, FleetRecordResult} from './FleetRecordResult.js';
export type {ClaimOutcome, KeptClaim} from './KeptClaim.js';
export {
  DuplicateFilter,
  type Fold,
  type RelayedFold,
  type DuplicateFilterOptions,
  type SnapshotFold,
} from './Fold.js';
export type {LeaseState} from './LeaseFold.js';
export {isMoveEnded} from './MoveFold.js';
export type {Quarantine} from './QuarantineFold.js';
