export {
  decideCapacity,
  getClientToken,
  type CapacityDecision,
  type CapacityEffect,
  type CapacityView,
  type PendingInstance,
  type RetiredVersion,
  type Vacancy,
} from './CapacityController.js';
export {
  getOffers,
  type Market,
  type Offer,
  type OffersView,
  type Price,
  type ReclaimHistory,
  type RefusedStart,
} from './Offers.js';
export {getReclaimHistory, updateReclaimRecords, type ReclaimRecord} from './ReclaimRecords.js';
export {
  decideReplicas,
  SCALE_DOWN_DELAY_MS,
  type ReplicaDecision,
  type ReplicaSample,
  type ReplicaState,
  type ReplicaView,
} from './ReplicaController.js';
export {
  getReplicaDemand,
  LOAD_REPORT_TTL_MS,
  type ReplicaDemand,
  type ReplicaDemandView,
  type ReplicaPressure,
  type ServerLoad,
} from './ReplicaDemand.js';
export {getReplicaLimit, type ReplicaLimitView} from './ReplicaLimit.js';
export {getSurvivingReplicas, type SurvivingReplicasView} from './survivingReplicas.js';
export {spreadInstances, type DomainCost, type DomainCount} from './Spread.js';
export {getRetiredVersions, getVersionNeeds, type VersionNeed} from './VersionNeeds.js';
export {
  decideLoads,
  type LoadQueueView,
  type ReadyCount,
  type StartLoadEffect,
  type WaitingInstance,
} from './LoadQueue.js';
