/**
 * Bodies of OpenAI-compatible completion requests: parsing, and building the body that continues a completion
 * elsewhere.
 */
import {z} from 'zod';
import {renderChatPrompt} from '../utils/index.js';

const messageSchema = z.looseObject({role: z.string(), content: z.string()});

const commonFields = {
  /** Name of the model service. */
  model: z.string().min(1),
  stream: z.boolean().optional(),
  stream_options: z.looseObject({include_usage: z.boolean().optional()}).optional(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
};

const chatBodySchema = z.looseObject({...commonFields, messages: z.array(messageSchema).min(1)});
const textBodySchema = z.looseObject({...commonFields, prompt: z.string()});

/** `chat`: chat completions with messages; `text`: completions of a prompt. */
export type CompletionFormat = 'chat' | 'text';

/** Body of `POST /v1/chat/completions`. */
export type ChatBody = z.infer<typeof chatBodySchema>;
/** Body of `POST /v1/completions`. */
export type TextBody = z.infer<typeof textBodySchema>;

/** A caller's parsed completion request; unknown fields are kept. */
export type CompletionBody =
  | {readonly format: 'chat'; readonly body: ChatBody}
  | {readonly format: 'text'; readonly body: TextBody};

/** Result of parsing a body: the body, or why it is invalid. */
export type CompletionBodyResult =
  | {readonly isValid: true; readonly completion: CompletionBody}
  | {readonly isValid: false; readonly reason: string};

/**
 * Validates the body of a completion request.
 * @param format - Format that the request's path implies.
 * @param value - Parsed JSON.
 */
export function parseCompletionBody(
  format: CompletionFormat,
  value: unknown,
): CompletionBodyResult {
  if (format === 'chat') {
    const parsed = chatBodySchema.safeParse(value);
    if (parsed.success) return {isValid: true, completion: {format, body: parsed.data}};
    return {isValid: false, reason: z.prettifyError(parsed.error)};
  }
  const parsed = textBodySchema.safeParse(value);
  if (parsed.success) return {isValid: true, completion: {format, body: parsed.data}};
  return {isValid: false, reason: z.prettifyError(parsed.error)};
}

/** Returns the maximum number of output tokens; undefined if the caller set no limit. */
export function getMaxTokens({body}: CompletionBody): number | undefined {
  return body.max_completion_tokens ?? body.max_tokens ?? undefined;
}

/** Returns the path of the completion endpoint, which is the same at the entry and at the engines. */
export function getCompletionPath(format: CompletionFormat): string {
  return format === 'chat' ? '/v1/chat/completions' : '/v1/completions';
}

/** Returns the prompt that the engine processes; for a chat, its messages rendered as text. */
export function getPromptText(completion: CompletionBody): string {
  if (completion.format === 'text') return completion.body.prompt;
  return renderChatPrompt(completion.body.messages);
}

/**
 * Builds the body of a streaming request to an engine. A later attempt continues the completion: tokens that the caller
 * has received are added to the prompt, and the token limit is lowered by their number.
 * @param completion - The caller's request.
 * @param passedTokens - Output tokens that the caller has already received; empty at the first attempt.
 * @param priority - Priority of the request class; lower values are scheduled first.
 */
export function createEngineBody(
  completion: CompletionBody,
  passedTokens: readonly string[],
  priority: number,
): string {
  const streaming = {stream: true, stream_options: {include_usage: true}, priority};
  const maxTokens = getMaxTokens(completion);
  const remaining =
    maxTokens === undefined
      ? {}
      : createMaxTokensField(completion, Math.max(1, maxTokens - passedTokens.length));
  const passedText = passedTokens.join('');
  if (completion.format === 'text') {
    const prompt = completion.body.prompt + passedText;
    return JSON.stringify({...completion.body, ...streaming, ...remaining, prompt});
  }
  if (passedTokens.length === 0) {
    return JSON.stringify({...completion.body, ...streaming});
  }
  const messages = [...completion.body.messages, {role: 'assistant', content: passedText}];
  return JSON.stringify({
    ...completion.body,
    ...streaming,
    ...remaining,
    messages,
    continue_final_message: true,
    add_generation_prompt: false,
  });
}

/** Sets the token limit under the field name that the caller used. */
function createMaxTokensField({body}: CompletionBody, tokens: number) {
  return body.max_completion_tokens ? {max_completion_tokens: tokens} : {max_tokens: tokens};
}
