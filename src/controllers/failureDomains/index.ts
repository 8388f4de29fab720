export {
  decideFailureDomains,
  getDomainPercent,
  RETURN_RAMP_MS,
  type DomainOrderEffect,
  type FailureDomainDecision,
  type FailureDomainView,
} from './FailureDomainController.js';
