export {
  CLAIM_AGGREGATOR_COUNT,
  MAX_SELF_CLAIMING_ENTRIES,
  chooseClaimGatherer,
  countClaimAppenders,
} from './chooseClaimGatherer.js';
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
