export {
  ClaimsFold,
  DEFAULT_CLAIM_KEEP_MS,
  type ClaimOutcome,
  type ClaimsFoldOptions,
  type KeptClaim,
} from './ClaimsFold.js';
export {ConfigurationFold, type ConfigurationVerdict} from './ConfigurationFold.js';
export {RepeatFilter, type Fold} from './Fold.js';
