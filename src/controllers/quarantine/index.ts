export {getFingerprint, type FingerprintParts} from './fingerprint.js';
export {
  DEFAULT_QUARANTINE,
  QuarantineLedger,
  type QuarantineDecision,
  type QuarantineLedgerOptions,
  type TrackedAttempt,
} from './QuarantineLedger.js';
export type {LossHistoryOptions, ServerCrash} from './LossHistory.js';
