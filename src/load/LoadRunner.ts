/** Sends a planned load at its own times, whatever the answers do (open loop). */
import {setTimeout as sleep} from 'node:timers/promises';
import {createParser} from 'eventsource-parser';
import {Agent, request} from 'undici';
import {z} from 'zod';
import type {PlannedRequest} from './LoadPlan.js';
import {LoadResult, type RequestOutcome} from './LoadResult.js';

/** Options of a `LoadRunner`. */
export interface LoadRunnerOptions {
  /** URLs of entries; requests take them in turn, a workspace always in the same order. */
  readonly entryUrls: readonly string[];
  readonly model: string;
  readonly getNowMs: () => number;
  /** Requests that may be open at a time; later ones count as failed, so that the load stays bounded. */
  readonly maxOpenRequests: number;
  readonly timeoutMs: number;
}

const END_OF_STREAM = '[DONE]';

const chunkSchema = z.object({
  choices: z.array(z.object({delta: z.object({content: z.string().optional()}).optional()})),
  usage: z
    .object({
      prompt_tokens: z.number(),
      prompt_tokens_details: z.object({cached_tokens: z.number()}).optional(),
    })
    .optional(),
});
const refusalSchema = z.object({error: z.object({kind: z.string()})});

/** What a stream has told so far. */
interface StreamReading {
  firstTokenAtMs: number | undefined;
  lastTokenAtMs: number;
  readonly interTokenMs: number[];
  answerTokens: number;
  promptTokens: number;
  cachedTokens: number;
  isWhole: boolean;
  errorKind: string | undefined;
}

/** Runs loads against entries. */
export class LoadRunner {
  private readonly options: LoadRunnerOptions;
  private openRequests = 0;
  private nextEntry = 0;

  constructor(options: LoadRunnerOptions) {
    this.options = options;
  }

  /**
   * Runs a load to its end.
   * @param planned - Requests in the order of their times.
   */
  async run(planned: readonly PlannedRequest[]): Promise<LoadResult> {
    const {getNowMs} = this.options;
    const result = new LoadResult();
    const agent = new Agent({headersTimeout: 0, bodyTimeout: 0});
    const startedAtMs = getNowMs();
    const running: Array<Promise<void>> = [];
    for (const one of planned) {
      const waitMs = startedAtMs + one.atMs - getNowMs();
      if (waitMs > 0) await sleep(waitMs);
      running.push(this.send(one, agent).then(outcome => result.addOutcome(outcome)));
    }
    await Promise.all(running);
    await agent.destroy();
    return result;
  }

  private async send(planned: PlannedRequest, agent: Agent): Promise<RequestOutcome> {
    const {getNowMs, maxOpenRequests} = this.options;
    const startedAtMs = getNowMs();
    const reading = createReading();
    if (this.openRequests >= maxOpenRequests) {
      return createOutcome(planned, startedAtMs, startedAtMs, 0, {
        ...reading,
        errorKind: 'load-bound',
      });
    }
    this.openRequests += 1;
    let status = 0;
    try {
      status = await this.stream(planned, agent, reading);
    } catch {
      reading.errorKind = 'connection';
    } finally {
      this.openRequests -= 1;
    }
    return createOutcome(planned, startedAtMs, getNowMs(), status, reading);
  }

  private async stream(
    planned: PlannedRequest,
    agent: Agent,
    reading: StreamReading,
  ): Promise<number> {
    const {entryUrls, model, timeoutMs, getNowMs} = this.options;
    const url = entryUrls[this.nextEntry++ % entryUrls.length];
    const response = await request(`${url}/v1/chat/completions`, {
      method: 'POST',
      dispatcher: agent,
      signal: AbortSignal.timeout(timeoutMs),
      headers: {
        authorization: `Bearer ${planned.workspace.key}`,
        'content-type': 'application/json',
        'x-request-class': planned.kind.requestClass,
      },
      body: JSON.stringify({
        model,
        stream: true,
        stream_options: {include_usage: true},
        max_tokens: planned.kind.answerTokens,
        messages: [{role: 'user', content: planned.content}],
      }),
    });
    if (response.statusCode !== 200) {
      const parsed = refusalSchema.safeParse(await response.body.json().catch(() => undefined));
      reading.errorKind = parsed.success ? parsed.data.error.kind : 'unreadable';
      return response.statusCode;
    }
    const parser = createParser({
      onEvent: ({event, data}) => readEvent(event, data, reading, getNowMs()),
    });
    const decoder = new TextDecoder();
    for await (const bytes of response.body) {
      parser.feed(decoder.decode(bytes as Uint8Array, {stream: true}));
    }
    if (!reading.isWhole) reading.errorKind ??= 'cut-off';
    return response.statusCode;
  }
}

function createReading(): StreamReading {
  return {
    firstTokenAtMs: undefined,
    lastTokenAtMs: 0,
    interTokenMs: [],
    answerTokens: 0,
    promptTokens: 0,
    cachedTokens: 0,
    isWhole: false,
    errorKind: undefined,
  };
}

function readEvent(
  event: string | undefined,
  data: string,
  reading: StreamReading,
  nowMs: number,
): void {
  if (data === END_OF_STREAM) {
    reading.isWhole = true;
    return;
  }
  if (event === 'error') {
    const parsed = refusalSchema.safeParse(JSON.parse(data));
    reading.errorKind = parsed.success ? parsed.data.error.kind : 'unreadable';
    return;
  }
  const {choices, usage} = chunkSchema.parse(JSON.parse(data));
  if (usage) {
    reading.promptTokens = usage.prompt_tokens;
    reading.cachedTokens = usage.prompt_tokens_details?.cached_tokens ?? 0;
  }
  if (!choices[0]?.delta?.content) return;
  reading.answerTokens += 1;
  if (reading.firstTokenAtMs === undefined) reading.firstTokenAtMs = nowMs;
  else reading.interTokenMs.push(nowMs - reading.lastTokenAtMs);
  reading.lastTokenAtMs = nowMs;
}

function createOutcome(
  planned: PlannedRequest,
  startedAtMs: number,
  endedAtMs: number,
  status: number,
  reading: StreamReading,
): RequestOutcome {
  const {firstTokenAtMs, interTokenMs, answerTokens, promptTokens, cachedTokens} = reading;
  return {
    planned,
    startedAtMs,
    endedAtMs,
    status,
    errorKind: reading.errorKind,
    firstTokenMs: firstTokenAtMs === undefined ? undefined : firstTokenAtMs - startedAtMs,
    interTokenMs,
    answerTokens,
    promptTokens,
    cachedTokens,
  };
}
