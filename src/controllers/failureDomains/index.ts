export {
  decideFailureDomains,
  getDomainPercent,
  RETURN_RAMP_MS,
  type DomainStatusEffect,
  type FailureDomainDecision,
  type FailureDomainView,
} from './FailureDomainController.js';
