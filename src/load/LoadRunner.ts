/** Sends planned requests at their planned times, independently of the responses (open loop). */
import {setTimeout as sleep} from 'node:timers/promises';
import {createParser} from 'eventsource-parser';
import {Agent, request} from 'undici';
import {z} from 'zod';
import type {PlannedRequest} from './LoadPlan.js';
import {LoadResult, type RequestOutcome} from './LoadResult.js';

/** Options of a `LoadRunner`. */
export interface LoadRunnerOptions {
  /** URLs of the entries; requests are sent to them in turn. */
  readonly entryUrls: readonly string[];
  readonly model: string;
  /** Clock for the planned times and the measured durations, in milliseconds. */
  readonly getNowMs: () => number;
  /**
   * Limit of concurrent requests. Further ones aren't sent and count as failed, so that the resource use stays bounded.
   */
  readonly maxOpenRequests: number;
  /** Longest time of one request, including its response. */
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
const errorSchema = z.object({error: z.object({kind: z.string()})});

/** What was received of a response stream so far. */
interface StreamState {
  firstTokenAtMs: number | undefined;
  lastTokenAtMs: number;
  readonly interTokenMs: number[];
  answerTokens: number;
  promptTokens: number;
  cachedTokens: number;
  /** Whether the end marker of the stream was received. */
  isComplete: boolean;
  errorKind: string | undefined;
}

/** Runs load tests against entries. */
export class LoadRunner {
  private readonly options: LoadRunnerOptions;
  private openRequests = 0;
  private nextEntryIndex = 0;

  constructor(options: LoadRunnerOptions) {
    this.options = options;
  }

  /**
   * Sends all requests and resolves when the last one has ended.
   * @param planned - Requests, ordered by time.
   */
  async run(planned: readonly PlannedRequest[]): Promise<LoadResult> {
    const {getNowMs} = this.options;
    const result = new LoadResult();
    const agent = new Agent({headersTimeout: 0, bodyTimeout: 0});
    const startedAtMs = getNowMs();
    const pendingRequests: Array<Promise<void>> = [];
    for (const plannedRequest of planned) {
      const waitMs = startedAtMs + plannedRequest.atMs - getNowMs();
      if (waitMs > 0) await sleep(waitMs);
      pendingRequests.push(
        this.send(plannedRequest, agent).then(outcome => result.addOutcome(outcome)),
      );
    }
    await Promise.all(pendingRequests);
    await agent.destroy();
    return result;
  }

  private async send(planned: PlannedRequest, agent: Agent): Promise<RequestOutcome> {
    const {getNowMs, maxOpenRequests} = this.options;
    const startedAtMs = getNowMs();
    const state = createStreamState();
    if (this.openRequests >= maxOpenRequests) {
      return createOutcome(planned, startedAtMs, startedAtMs, 0, {
        ...state,
        errorKind: 'load-bound',
      });
    }
    this.openRequests += 1;
    let status = 0;
    try {
      status = await this.stream(planned, agent, state);
    } catch {
      state.errorKind = 'connection';
    } finally {
      this.openRequests -= 1;
    }
    return createOutcome(planned, startedAtMs, getNowMs(), status, state);
  }

  private async stream(planned: PlannedRequest, agent: Agent, state: StreamState): Promise<number> {
    const {entryUrls, model, timeoutMs, getNowMs} = this.options;
    const url = entryUrls[this.nextEntryIndex++ % entryUrls.length];
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
      const parsed = errorSchema.safeParse(await response.body.json().catch(() => undefined));
      state.errorKind = parsed.success ? parsed.data.error.kind : 'unreadable';
      return response.statusCode;
    }
    const parser = createParser({
      onEvent: ({event, data}) => applyEvent(event, data, state, getNowMs()),
    });
    const decoder = new TextDecoder();
    for await (const bytes of response.body) {
      parser.feed(decoder.decode(bytes as Uint8Array, {stream: true}));
    }
    if (!state.isComplete) state.errorKind ??= 'cut-off';
    return response.statusCode;
  }
}

function createStreamState(): StreamState {
  return {
    firstTokenAtMs: undefined,
    lastTokenAtMs: 0,
    interTokenMs: [],
    answerTokens: 0,
    promptTokens: 0,
    cachedTokens: 0,
    isComplete: false,
    errorKind: undefined,
  };
}

function applyEvent(
  event: string | undefined,
  data: string,
  state: StreamState,
  nowMs: number,
): void {
  if (data === END_OF_STREAM) {
    state.isComplete = true;
    return;
  }
  if (event === 'error') {
    const parsed = errorSchema.safeParse(JSON.parse(data));
    state.errorKind = parsed.success ? parsed.data.error.kind : 'unreadable';
    return;
  }
  const {choices, usage} = chunkSchema.parse(JSON.parse(data));
  if (usage) {
    state.promptTokens = usage.prompt_tokens;
    state.cachedTokens = usage.prompt_tokens_details?.cached_tokens ?? 0;
  }
  if (!choices[0]?.delta?.content) return;
  state.answerTokens += 1;
  if (state.firstTokenAtMs === undefined) state.firstTokenAtMs = nowMs;
  else state.interTokenMs.push(nowMs - state.lastTokenAtMs);
  state.lastTokenAtMs = nowMs;
}

function createOutcome(
  planned: PlannedRequest,
  startedAtMs: number,
  endedAtMs: number,
  status: number,
  state: StreamState,
): RequestOutcome {
  const {firstTokenAtMs, interTokenMs, answerTokens, promptTokens, cachedTokens} = state;
  return {
    planned,
    startedAtMs,
    endedAtMs,
    status,
    errorKind: state.errorKind,
    firstTokenMs: firstTokenAtMs === undefined ? undefined : firstTokenAtMs - startedAtMs,
    interTokenMs,
    answerTokens,
    promptTokens,
    cachedTokens,
  };
}
