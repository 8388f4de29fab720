export {
  AllotmentLedger,
  type QuotaDecision,
  type AllotmentLedgerOptions,
  type PeerReachability,
} from './AllotmentLedger.js';
