export {
  CLAIM_FRESH_MS,
  decideClaim,
  getKeyTimeMs,
  isClaimFresh,
  type ClaimAnswer,
  type ClaimRequest,
  type ClaimVerdict,
  type ClaimView,
} from './decideClaim.js';
