/** Sends one request of a caller and records what came back. */
import {createParser} from 'eventsource-parser';
import {request, type Dispatcher} from 'undici';
import type {CallAttempt} from './CallRecord.js';

/** A request as a caller sends it. */
export interface CallerRequest {
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly isStreamed: boolean;
  readonly timeoutMs: number;
}

interface ChunkChoice {
  readonly delta?: {readonly content?: string};
  readonly text?: string;
}

interface ErrorBody {
  readonly error?: {readonly kind?: string; readonly run?: string};
}

/** Sends a request to an entry; never throws. */
export async function sendCallerRequest(
  entryUrl: string,
  {path, headers, body, isStreamed, timeoutMs}: CallerRequest,
): Promise<CallAttempt> {
  const startedAtMs = Date.now();
  const base = {entryUrl, startedAtMs};
  try {
    const answer = await request(entryUrl + path, {
      method: 'POST',
      headers: {...headers, 'content-type': 'application/json'},
      body,
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
      signal: AbortSignal.timeout(timeoutMs),
    });
    const requestId = String(answer.headers['x-request-id'] ?? '');
    const seen =
      isStreamed && answer.statusCode === 200
        ? await readStream(answer, startedAtMs)
        : await readWhole(answer);
    return {...base, status: answer.statusCode, requestId, ...seen, endedAtMs: Date.now()};
  } catch {
    return {...base, endedAtMs: Date.now(), isWhole: false};
  }
}

async function readWhole(
  answer: Dispatcher.ResponseData,
): Promise<Partial<CallAttempt> & {isWhole: boolean}> {
  const text = await answer.body.text();
  if (answer.statusCode < 300) return {text, isWhole: true};
  return {text, isWhole: true, ...readError(text)};
}

async function readStream(answer: Dispatcher.ResponseData, startedAtMs: number) {
  const tokens: string[] = [];
  let isWhole = false;
  let firstTokenMs: number | undefined;
  let failure: {readonly kind?: string; readonly run?: string} = {};
  const parser = createParser({
    onEvent: ({data, event}) => {
      if (event === 'error') failure = readError(data);
      else if (data === '[DONE]') isWhole = true;
      else {
        const token = readToken(data);
        if (token === '') return;
        firstTokenMs ??= Date.now() - startedAtMs;
        tokens.push(token);
      }
    },
  });
  try {
    const decoder = new TextDecoder();
    for await (const bytes of answer.body as AsyncIterable<Buffer>) {
      parser.feed(decoder.decode(bytes, {stream: true}));
    }
  } catch {
    // The connection broke; what arrived before counts.
  }
  return {tokens, firstTokenMs, isWhole, ...failure};
}

function readToken(data: string): string {
  const {choices = []} = JSON.parse(data) as {readonly choices?: readonly ChunkChoice[]};
  const [choice] = choices;
  return choice?.delta?.content ?? choice?.text ?? '';
}

function readError(text: string): {readonly kind?: string; readonly run?: string} {
  try {
    const {error} = JSON.parse(text) as ErrorBody;
    return {kind: error?.kind, run: error?.run};
  } catch {
    return {};
  }
}
