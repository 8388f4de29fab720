export {getFingerprint, type FingerprintParts} from './fingerprint.js';
export {
  DEFAULT_QUARANTINE,
  QuarantineLedger,
  type QuarantineDecision,
  type QuarantineLedgerOptions,
  type ServerCrash,
  type TrackedAttempt,
} from './QuarantineLedger.js';
