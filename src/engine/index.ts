export {
  createEngineBody,
  getCompletionPath,
  getPromptText,
  readCompletionBody,
  type CompletionBody,
  type CompletionBodyResult,
  type CompletionFormat,
} from './CompletionBody.js';
export {
  EngineClient,
  type EngineCall,
  type EngineClientOptions,
  type EngineEvent,
  type EngineUsage,
  type PlainAnswer,
  type ServerReport,
} from './EngineClient.js';
