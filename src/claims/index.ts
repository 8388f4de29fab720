export {
  CLAIM_FRESH_MS,
  isClaimFresh,
  type ClaimAnswer,
  type ClaimRequest,
  type ClaimVerdict,
} from '../controllers/claims/index.js';
export type {ClaimAggregator, ClaimAggregation, ClaimAggregationBatch} from './AggregatorCalls.js';
export {ClaimService, type ClaimServiceOptions} from './ClaimService.js';
