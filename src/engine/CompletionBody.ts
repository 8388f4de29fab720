/** Bodies of the OpenAI-compatible completion calls: their schema, and how an answer is resumed elsewhere. */
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

/** Which of the two completion calls a request is. */
export type CompletionFormat = 'chat' | 'text';

/** Body of `POST /v1/chat/completions`. */
export type ChatBody = z.infer<typeof chatBodySchema>;
/** Body of `POST /v1/completions`. */
export type TextBody = z.infer<typeof textBodySchema>;

/** A completion request as a caller sent it. */
export type CompletionBody =
  | {readonly format: 'chat'; readonly body: ChatBody}
  | {readonly format: 'text'; readonly body: TextBody};

/** Result of reading a body: the body, or what is wrong with it. */
export type CompletionBodyResult =
  | {readonly isValid: true; readonly completion: CompletionBody}
  | {readonly isValid: false; readonly reason: string};

/**
 * Reads a caller's body.
 * @param format - Which call it came with.
 * @param value - Parsed JSON.
 */
export function readCompletionBody(format: CompletionFormat, value: unknown): CompletionBodyResult {
  if (format === 'chat') {
    const parsed = chatBodySchema.safeParse(value);
    if (parsed.success) return {isValid: true, completion: {format, body: parsed.data}};
    return {isValid: false, reason: z.prettifyError(parsed.error)};
  }
  const parsed = textBodySchema.safeParse(value);
  if (parsed.success) return {isValid: true, completion: {format, body: parsed.data}};
  return {isValid: false, reason: z.prettifyError(parsed.error)};
}

/** Returns the most tokens that an answer may have; undefined where the caller named no limit. */
export function getMaxTokens({body}: CompletionBody): number | undefined {
  return body.max_completion_tokens ?? body.max_tokens ?? undefined;
}

/** Returns the path of a completion call. */
export function getCompletionPath(format: CompletionFormat): string {
  return format === 'chat' ? '/v1/chat/completions' : '/v1/completions';
}

/** Returns the text that an engine reads before it answers. */
export function getPromptText(completion: CompletionBody): string {
  if (completion.format === 'text') return completion.body.prompt;
  return renderChatPrompt(completion.body.messages);
}

/**
 * Returns the body that asks an engine to stream the rest of an answer.
 * @param completion - The caller's request.
 * @param passedTokens - Tokens of the answer that the caller has already got.
 * @param priority - Priority of the request's class; lower goes first.
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
      : createLimit(completion, Math.max(1, maxTokens - passedTokens.length));
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

/** The limit goes out under the name that the caller used. */
function createLimit({body}: CompletionBody, tokens: number) {
  return body.max_completion_tokens ? {max_completion_tokens: tokens} : {max_tokens: tokens};
}
