export {FairQueue, type QueuedRequest, type QueuePlace} from './FairQueue.js';
export {AdmissionQueue, type AdmissionQueueOptions} from './AdmissionQueue.js';
export type {
  AdmissionDecision,
  AdmissionLimits,
  AdmissionRequest,
  ClassPriority,
  WorkspaceLimit,
} from './AdmissionTypes.js';
export {
  createConcurrencyLimit,
  updateConcurrencyLimit,
  type ConcurrencyBounds,
  type ConcurrencyLimitState,
  type LatencySample,
} from './concurrencyLimit.js';
export {
  isLightlyLoaded,
  updateBaselineLatency,
  type BaselineLatencySample,
  type BaselineLatencyState,
} from './baselineLatency.js';
export {
  ServiceQueue,
  type QueueDecision,
  type QueueRefusal,
  type ServiceQueueOptions,
  type ServiceRequest,
} from './ServiceQueue.js';
export {ServiceRoom, type ServiceLoadView} from './ServiceRoom.js';
