export {explainRequest} from './explainRequest.js';
export {
  parseLogLine,
  readLogs,
  type LoggedEvent,
  type LoggedFields,
  type ParsedLogs as ReadLogs,
} from './LoggedEvent.js';
export {formatFailureGroup, summarizeFailures, type FailureGroup} from './summarizeFailures.js';
