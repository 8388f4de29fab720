export {
  QuotaLedger,
  type QuotaDecision,
  type QuotaLedgerOptions,
  type PeerReachability,
} from './QuotaLedger.js';
