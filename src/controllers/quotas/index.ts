export {
  QuotaLedger,
  type AdmissionReport,
  type BucketState,
  type QuotaCaller,
  type QuotaDecision,
  type QuotaLedgerOptions,
  type PeerReachability,
} from './QuotaLedger.js';
