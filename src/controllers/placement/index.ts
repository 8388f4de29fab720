export {ColdServerLimiter, type ColdLimit} from './ColdServerLimiter.js';
export {ColdServerShares} from './ColdServerShares.js';
export {ServerHealth, type HealthOutcome} from './ServerHealth.js';
export {ServerLoads, type ServerLoad} from './ServerLoads.js';
export {
  choosePlacement,
  type PlacementDecision,
  type PlacementRequest,
  type PlacementView,
  type PromptPart,
} from './choosePlacement.js';
