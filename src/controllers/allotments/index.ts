export {
  AllotmentLedger,
  type AllotmentDecision,
  type AllotmentLedgerOptions,
  type PeerReach,
} from './AllotmentLedger.js';
