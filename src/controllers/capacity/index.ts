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
export {spreadInstances, type DomainCost, type DomainCount} from './Spread.js';
export {getRetiredVersions, getVersionNeeds, type VersionNeed} from './VersionNeeds.js';
export {
  decideLoads,
  type LoadQueueView,
  type ReadyCount,
  type StartLoadEffect,
  type WaitingInstance,
} from './LoadQueue.js';
