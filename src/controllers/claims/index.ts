export {
  CLAIM_AGGREGATOR_COUNT,
  MAX_ENTRIES_WITHOUT_AGGREGATORS,
  chooseClaimAggregator,
  countClaimAppenders,
} from './chooseClaimAggregator.js';
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
