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
  type StoredResponse,
} from './LogRecord.js';
