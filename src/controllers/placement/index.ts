export {ServerRateLimiter, type RateShare} from './ServerRateLimiter.js';
export {ServerRateShares} from './ServerRateShares.js';
export {NamedLimits, type NamedLimit} from './NamedLimits.js';
export {BrittleServers, type BrittleServerLoad} from './BrittleServers.js';
export {ServerHealth, type HealthOutcome} from './ServerHealth.js';
export {ServerPauses} from './ServerPauses.js';
export {
  getAvailability,
  type AvailabilityView,
  type ServerAvailability,
} from './getAvailability.js';
export {ServerLoads, type ServerLoad} from './ServerLoads.js';
export {
  ServerSpeeds,
  type FactorChange,
  type FactorSummary,
  type FirstEventTime,
  type SpeedView,
} from './ServerSpeeds.js';
export {choosePlacement} from './choosePlacement.js';
export type {
  PlacementDecision,
  PlacementRequest,
  PlacementTargets,
  PlacementView,
  PromptPart,
} from './PlacementTypes.js';
