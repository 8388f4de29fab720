export {
  CLAIM_FRESH_MS,
  isClaimFresh,
  type ClaimAnswer,
  type ClaimRequest,
  type ClaimVerdict,
} from '../controllers/claims/index.js';
export {
  ClaimService,
  type ClaimGatherer,
  type ClaimGathering,
  type ClaimServiceOptions,
} from './ClaimService.js';
