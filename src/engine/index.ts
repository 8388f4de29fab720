export {
  createEngineBody,
  getCompletionPath,
  getMaxTokens,
  getPromptText,
  parseCompletionBody,
  type CompletionBody,
  type CompletionBodyResult,
  type CompletionFormat,
} from './CompletionBody.js';
export {AttemptError, toAttemptError, type AttemptErrorOptions} from './AttemptError.js';
export {isConnectError} from './attemptErrors.js';
export type {EngineEvent, EngineUsage} from './EngineEvent.js';
export {
  EngineClient,
  type CacheTransfer,
  type EngineCall,
  type EngineClientOptions,
  type PlainResponse,
  type ServerReport,
} from './EngineClient.js';
export {ServerTracker, type FirstTokenSample, type ServerTrackerOptions} from './ServerTracker.js';
