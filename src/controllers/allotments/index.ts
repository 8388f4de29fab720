export {
  AllotmentLedger,
  type AllotmentDecision,
  type AllotmentLedgerOptions,
  type AllotmentTolerance,
  type PeerReach,
} from './AllotmentLedger.js';
