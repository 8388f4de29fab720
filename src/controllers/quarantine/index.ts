export {getFingerprint, type FingerprintInput} from './fingerprint.js';
export {
  DEFAULT_QUARANTINE,
  QuarantineLedger,
  type QuarantineDecision,
  type QuarantineLedgerOptions,
  type TrackedAttempt,
} from './QuarantineLedger.js';
export type {CrashHistoryOptions, ServerCrash} from './CrashHistory.js';
