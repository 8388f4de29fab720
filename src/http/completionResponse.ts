/** Response bodies of completions in the OpenAI-compatible format. */
import type {CompletionBody} from '../engine/index.js';
import type {CompletionResult} from './CompletionTypes.js';
import type {CallerRequest} from './RequestContext.js';

/**
 * Returns the response body of a non-streamed completion.
 * @param caller - Request, whose id becomes the id of the completion.
 * @param completion - Parsed request body, which determines the format and the model.
 * @param result - Result of the completion.
 * @param createdAtSeconds - Unix time in seconds for the `created` field.
 */
export function createCompletionResponse(
  caller: CallerRequest,
  completion: CompletionBody,
  result: CompletionResult,
  createdAtSeconds: number,
) {
  const text = result.tokens.join('');
  const isChat = completion.format === 'chat';
  const choiceContent = isChat ? {message: {role: 'assistant', content: text}} : {text};
  return {
    id: caller.requestId,
    object: isChat ? 'chat.completion' : 'text_completion',
    created: createdAtSeconds,
    model: completion.body.model,
    choices: [{index: 0, ...choiceContent, finish_reason: result.finishReason}],
    usage: createUsage(result),
  };
}

/** Returns the `usage` object of a response or of the last event of a stream. */
export function createUsage({usage, tokens}: CompletionResult) {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: tokens.length,
    total_tokens: usage.promptTokens + tokens.length,
    prompt_tokens_details: {cached_tokens: usage.cachedTokens},
  };
}
