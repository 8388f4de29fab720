/** Requests of the OpenAI-compatible interface as the engine takes them. */
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

/** A request for an answer. */
export interface CompletionRequest {
  readonly kind: 'chat' | 'completion';
  readonly model: string;
  /** Text that the answer continues: the prompt and what was answered before a resume. */
  readonly promptText: string;
  readonly isStreamed: boolean;
  readonly includesUsage: boolean;
  /** Absent where the answer ends by itself. */
  readonly maxTokens?: number;
  /** Lower goes first. */
  readonly priority: number;
}

/** Reads a body of `POST /v1/chat/completions`. */
export function parseChatRequest(body: unknown): CompletionRequest {
  const chat = chatSchema.parse(body);
  const last = chat.messages.length - 1;
  const parts = chat.messages.map(({role, content}, index) => {
    const isContinued = chat.continue_final_message && index === last;
    return `<${role}>\n${getText(content)}${isContinued ? '' : '\n'}`;
  });
  const opening = chat.continue_final_message ? '' : '<assistant>\n';
  return {...getCommonFields(chat), kind: 'chat', promptText: parts.join('') + opening};
}

/** Reads a body of `POST /v1/completions`. */
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
