export {ServerRateLimiter, type RateShare} from './ServerRateLimiter.js';
export {ServerRateShares} from './ServerRateShares.js';
export {NamedLimits, type NamedLimit} from './NamedLimits.js';
export {ServerHealth, type HealthOutcome} from './ServerHealth.js';
export {ServerPauses} from './ServerPauses.js';
export {
  getAvailability,
  type AvailabilityView,
  type ServerAvailability,
} from './getAvailability.js';
export {ServerLoads, type ServerLoad} from './ServerLoads.js';
export {
  choosePlacement,
  type PlacementDecision,
  type PlacementRequest,
  type PlacementView,
  type PromptPart,
} from './choosePlacement.js';
