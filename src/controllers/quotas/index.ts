export {
  QuotaLedger,
  type AdmissionReport,
  type QuotaDecision,
  type QuotaLedgerOptions,
  type PeerReachability,
} from './QuotaLedger.js';
