export {
  LogClient,
  type LogAccess,
  type LogClientOptions,
  type LogReadOptions,
  type LogSlice,
  type StoredRecord,
} from './LogClient.js';
export {
  LOG_STREAMS,
  decodeRecord,
  encodeRecord,
  type ClaimProposal,
  type LogBody,
  type LogBodyOf,
  type LogRecord,
  type LogStream,
  type OutcomeProposal,
  type PlacedRecord,
  type StoredAnswer,
} from './LogRecord.js';
export {LogTailer, type LogTailerOptions} from './LogTailer.js';
export {LogWriter, type LogWriterOptions} from './LogWriter.js';
