export {explainRequest} from './explainRequest.js';
export {
  parseLogLine,
  parseLogs,
  type LoggedEvent,
  type LoggedFields,
  type ParsedLogs,
} from './LoggedEvent.js';
export {formatFailureGroup, summarizeFailures, type FailureGroup} from './summarizeFailures.js';
