/** Parsing of OpenAI-compatible chat and text completion requests. */
import {z} from 'zod';

const contentSchema = z.union([
  z.string(),
  z.array(z.looseObject({type: z.string(), text: z.string().optional()})),
]);

const commonFields = {
  model: z.string(),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
  stream_options: z.looseObject({include_usage: z.boolean().default(false)}).nullish(),
  priority: z.number().default(0),
};

const chatSchema = z.looseObject({
  ...commonFields,
  messages: z.array(z.looseObject({role: z.string(), content: contentSchema.nullish()})).min(1),
  continue_final_message: z.boolean().default(false),
  add_generation_prompt: z.boolean().default(true),
});

const completionSchema = z.looseObject({...commonFields, prompt: z.string()});

/** A chat or text completion request, reduced to what the engine uses. */
export interface CompletionRequest {
  readonly kind: 'chat' | 'completion';
  readonly model: string;
  /** Text to continue: the prompt, with the part of the response generated before a resume. */
  readonly promptText: string;
  readonly isStreamed: boolean;
  readonly includesUsage: boolean;
  /** Maximum number of generated tokens; without it, the engine decides where the response ends. */
  readonly maxTokens?: number;
  /** Lower values are scheduled first. */
  readonly priority: number;
}

/** Parses a body of `POST /v1/chat/completions`; throws a `ZodError` if it is invalid. */
export function parseChatRequest(body: unknown): CompletionRequest {
  const chat = chatSchema.parse(body);
  const last = chat.messages.length - 1;
  const parts = chat.messages.map(({role, content}, index) => {
    const isContinued = chat.continue_final_message && index === last;
    return `<${role}>\n${getText(content)}${isContinued ? '' : '\n'}`;
  });
  const assistantHeader = chat.continue_final_message ? '' : '<assistant>\n';
  return {...getCommonFields(chat), kind: 'chat', promptText: parts.join('') + assistantHeader};
}

/** Parses a body of `POST /v1/completions`; throws a `ZodError` if it is invalid. */
export function parseCompletionRequest(body: unknown): CompletionRequest {
  const completion = completionSchema.parse(body);
  return {...getCommonFields(completion), kind: 'completion', promptText: completion.prompt};
}

type CommonFields = z.infer<z.ZodObject<typeof commonFields>>;

function getCommonFields(body: CommonFields) {
  return {
    model: body.model,
    isStreamed: body.stream,
    includesUsage: body.stream_options?.include_usage ?? false,
    maxTokens: body.max_tokens ?? body.max_completion_tokens ?? undefined,
    priority: body.priority,
  };
}

function getText(content: z.infer<typeof contentSchema> | null | undefined): string {
  if (content === null || content === undefined) return '';
  return typeof content === 'string' ? content : content.map(part => part.text ?? '').join('');
}
