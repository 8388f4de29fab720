/** Sends one streamed completion and measures it. */
import {createParser} from 'eventsource-parser';
import {request, type Dispatcher} from 'undici';
import type {Arrival} from './ArrivalPlan.js';

/** What became of a request. */
export interface CallResult {
  readonly arrival: Arrival;
  readonly startedAtMs: number;
  readonly isAnswered: boolean;
  /** HTTP status; absent where the connection broke before one. */
  readonly status?: number;
  readonly firstTokenMs?: number;
  /** Longest time between two tokens. */
  readonly longestGapMs?: number;
  readonly totalMs: number;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly generatedTokens: number;
}

/** How a request is sent. */
export interface CallOptions {
  readonly model: string;
  /** Told apart by policy, so that none finds what another one left in the caches. */
  readonly salt: string;
  readonly timeoutMs: number;
  readonly getNowMs: () => number;
}

interface Measured {
  tokens: number;
  firstTokenAtMs?: number;
  lastTokenAtMs?: number;
  longestGapMs: number;
  promptTokens: number;
  cachedTokens: number;
  isWhole: boolean;
}

interface Chunk {
  readonly choices?: ReadonlyArray<{readonly delta?: {readonly content?: string}}>;
  readonly usage?: {
    readonly prompt_tokens: number;
    readonly prompt_tokens_details?: {readonly cached_tokens?: number};
  };
}

/**
 * Sends a request; never throws.
 * @param url - Base URL of an entry or engine.
 * @param arrival - What to send.
 * @param options - How.
 */
export async function sendCall(
  url: string,
  arrival: Arrival,
  options: CallOptions,
): Promise<CallResult> {
  const {getNowMs, timeoutMs} = options;
  const startedAtMs = getNowMs();
  const measured: Measured = {
    tokens: 0,
    longestGapMs: 0,
    promptTokens: 0,
    cachedTokens: 0,
    isWhole: false,
  };
  let status: number | undefined;
  try {
    const answer = await request(`${url}/v1/chat/completions`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${arrival.workspace.key}`,
        'content-type': 'application/json',
        'x-request-class': arrival.requestClass.name,
      },
      body: createBody(arrival, options),
      signal: AbortSignal.timeout(timeoutMs),
    });
    status = answer.statusCode;
    await readAnswer(answer, measured, getNowMs);
  } catch {
    // A broken connection is a result like any other.
  }
  return createResult(arrival, startedAtMs, getNowMs(), status, measured);
}

/** Returns the prompt of an arrival: a shared beginning, then words that no other prompt has. */
export function createPrompt(arrival: Arrival, salt: string): string {
  const {requestClass, workspace, prefixNumber, number} = arrival;
  const {promptTokens, sharedPrefixTokens} = requestClass;
  const prefix = `${salt}-${workspace.name}-${requestClass.name}-${prefixNumber}`;
  return Array.from({length: promptTokens}, (unused, index) =>
    index < sharedPrefixTokens ? `${prefix}-${index}` : `${salt}-${number}-${index}`,
  ).join(' ');
}

function createBody(arrival: Arrival, {model, salt}: CallOptions): string {
  return JSON.stringify({
    model,
    stream: true,
    stream_options: {include_usage: true},
    max_tokens: arrival.requestClass.answerTokens,
    messages: [{role: 'user', content: createPrompt(arrival, salt)}],
  });
}

async function readAnswer(
  answer: Dispatcher.ResponseData,
  measured: Measured,
  getNowMs: () => number,
): Promise<void> {
  if (answer.statusCode !== 200) {
    await answer.body.dump();
    return;
  }
  const parser = createParser({
    onEvent: ({data}) => {
      if (data === '[DONE]') measured.isWhole = true;
      else measureChunk(JSON.parse(data) as Chunk, measured, getNowMs());
    },
  });
  const decoder = new TextDecoder();
  for await (const bytes of answer.body as AsyncIterable<Buffer>) {
    parser.feed(decoder.decode(bytes, {stream: true}));
  }
}

function measureChunk({choices, usage}: Chunk, measured: Measured, nowMs: number): void {
  if (usage) {
    measured.promptTokens = usage.prompt_tokens;
    measured.cachedTokens = usage.prompt_tokens_details?.cached_tokens ?? 0;
  }
  if (!choices?.[0]?.delta?.content) return;
  const gapMs = nowMs - (measured.lastTokenAtMs ?? nowMs);
  measured.longestGapMs = Math.max(measured.longestGapMs, gapMs);
  measured.firstTokenAtMs ??= nowMs;
  measured.lastTokenAtMs = nowMs;
  measured.tokens += 1;
}

function createResult(
  arrival: Arrival,
  startedAtMs: number,
  endedAtMs: number,
  status: number | undefined,
  measured: Measured,
): CallResult {
  const {firstTokenAtMs, tokens} = measured;
  return {
    arrival,
    startedAtMs,
    isAnswered: measured.isWhole,
    status,
    firstTokenMs: firstTokenAtMs === undefined ? undefined : firstTokenAtMs - startedAtMs,
    longestGapMs: tokens > 1 ? measured.longestGapMs : undefined,
    totalMs: endedAtMs - startedAtMs,
    promptTokens: measured.promptTokens,
    cachedTokens: measured.cachedTokens,
    generatedTokens: tokens,
  };
}
