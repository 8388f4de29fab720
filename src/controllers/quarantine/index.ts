export {getFingerprint, type FingerprintInput} from './fingerprint.js';
export {
  DEFAULT_QUARANTINE,
  QuarantineLedger,
  type QuarantineDecision,
  type QuarantineLedgerOptions,
  type TrackedAttempt,
} from './QuarantineLedger.js';
export type {CrashHistoryOptions, ServerCrash} from './CrashHistory.js';
export {
  CrashEvidence,
  NO_FINDINGS,
  type CrashFindings,
  type CrashReport,
  type Survival,
  type Suspect,
} from './CrashEvidence.js';
export {SurvivalMemory} from './SurvivalMemory.js';
export {
  decideQuarantines,
  type QuarantineCheck,
  type QuarantinePeriod,
} from './decideQuarantines.js';
export {getPartSuspects, getRequestSuspect, type SuspectRequest} from './getSuspects.js';
