export {createResponseText, splitIntoTokens} from './TokenGenerator.js';
export {
  parseChatRequest,
  parseCompletionRequest,
  type CompletionRequest,
} from './CompletionRequest.js';
export {DEFAULT_ENGINE_PROFILE, type EngineProfile} from './EngineProfile.js';
export {ModelEngine, type ModelEngineOptions} from './ModelEngine.js';
