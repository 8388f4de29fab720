export {EventQueue} from './EventQueue.js';
export {
  compareRouting,
  findTargetRate,
  type RoutingRecord,
  type TargetRate,
} from './RoutingExperiment.js';
export {createPolicies, type PolicyName} from './RoutingPolicies.js';
export {
  FAILURE_DOMAINS,
  ServingModel,
  type ReclaimPlan,
  type ServedRequest,
  type ServingModelOptions,
} from './ServingModel.js';
export {
  FIRST_TOKEN_TARGET_MS,
  INTER_TOKEN_TARGET_MS,
  meetsTarget,
  summarizeServed,
  REQUIRED_FRACTION,
  type ServingSummary,
} from './ServingSummary.js';
export {VirtualEngine, type VirtualJob} from './VirtualEngine.js';
