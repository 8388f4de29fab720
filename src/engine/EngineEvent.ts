/** Events of an engine's completion stream, parsed from the chunks of its server-sent events. */
import {z} from 'zod';

/** Token counts that an engine reports at the end of a stream. */
export interface EngineUsage {
  readonly promptTokens: number;
  /** Prompt tokens taken from the engine's prefix cache. */
  readonly cachedTokens: number;
}

/** One event of a completion stream. */
export type EngineEvent =
  | {readonly kind: 'token'; readonly text: string}
  | {readonly kind: 'finished'; readonly finishReason: string}
  | {readonly kind: 'usage'; readonly usage: EngineUsage};

const chunkSchema = z.object({
  choices: z.array(
    z.object({
      delta: z.object({content: z.string().nullish()}).optional(),
      text: z.string().optional(),
      finish_reason: z.string().nullish(),
    }),
  ),
  usage: z
    .object({
      prompt_tokens: z.number(),
      prompt_tokens_details: z.object({cached_tokens: z.number()}).nullish(),
    })
    .nullish(),
});

/**
 * Parses a chunk; throws if it isn't JSON or doesn't match the schema.
 * @param data - Data of a server-sent event, without the final `[DONE]`.
 */
export function parseChunk(data: string): readonly EngineEvent[] {
  const chunk = chunkSchema.parse(JSON.parse(data));
  const events: EngineEvent[] = [];
  for (const choice of chunk.choices) {
    const text = choice.delta?.content ?? choice.text ?? '';
    if (text.length > 0) events.push({kind: 'token', text});
    if (choice.finish_reason) events.push({kind: 'finished', finishReason: choice.finish_reason});
  }
  if (chunk.usage) {
    const promptTokens = chunk.usage.prompt_tokens;
    const cachedTokens = chunk.usage.prompt_tokens_details?.cached_tokens ?? 0;
    events.push({kind: 'usage', usage: {promptTokens, cachedTokens}});
  }
  return events;
}
