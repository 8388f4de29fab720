/** Whole answers in the OpenAI-compatible form. */
import type {CompletionBody} from '../engine/index.js';
import type {CompletionResult} from './CompletionTypes.js';
import type {CallerRequest} from './RequestContext.js';

/**
 * Returns the answer to a call that didn't ask for a stream.
 * @param caller - The request.
 * @param completion - Its body.
 * @param result - How it ended.
 * @param createdAtSeconds - Unix time of the answer.
 */
export function createWholeAnswer(
  caller: CallerRequest,
  completion: CompletionBody,
  result: CompletionResult,
  createdAtSeconds: number,
) {
  const text = result.tokens.join('');
  const isChat = completion.format === 'chat';
  const answer = isChat ? {message: {role: 'assistant', content: text}} : {text};
  return {
    id: caller.requestId,
    object: isChat ? 'chat.completion' : 'text_completion',
    created: createdAtSeconds,
    model: completion.body.model,
    choices: [{index: 0, ...answer, finish_reason: result.finishReason}],
    usage: createUsage(result),
  };
}

/** Returns the `usage` of an answer in the OpenAI-compatible form. */
export function createUsage({usage, tokens}: CompletionResult) {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: tokens.length,
    total_tokens: usage.promptTokens + tokens.length,
    prompt_tokens_details: {cached_tokens: usage.cachedTokens},
  };
}
