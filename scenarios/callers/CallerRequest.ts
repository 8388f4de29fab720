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

/** What arrived of an answer; tokens add up over the entries that it came from. */
interface SeenAnswer {
  isConnected: boolean;
  status?: number;
  requestId?: string;
  run?: string;
  kind?: string;
  text?: string;
  tokens?: string[];
  firstTokenMs?: number;
  isWhole: boolean;
}

/** Where a caller goes for its answer, or for the rest of it. */
interface Place {
  readonly url: string;
  readonly method: 'GET' | 'POST';
}

const MAX_PLACES = 5;
const UNCONNECTED_CODES: readonly string[] = ['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT'];
const STATUS_SEE_OTHER = 303;

/** Sends a request to an entry and goes where the entry sends it for the rest; never throws. */
export async function sendCallerRequest(
  entryUrl: string,
  callerRequest: CallerRequest,
): Promise<CallAttempt> {
  const startedAtMs = Date.now();
  const seen: SeenAnswer = {isConnected: true, isWhole: false};
  let place: Place | undefined = {url: entryUrl + callerRequest.path, method: 'POST'};
  try {
    for (let places = 0; place && places < MAX_PLACES; places++) {
      place = await readFrom(place, callerRequest, seen, startedAtMs);
    }
  } catch (error) {
    // Where the connection broke, what arrived before counts.
    seen.isConnected = seen.status !== undefined || !isUnconnected(error);
  }
  return {...seen, entryUrl, startedAtMs, endedAtMs: Date.now()};
}

async function readFrom(
  {url, method}: Place,
  {headers, body, isStreamed, timeoutMs}: CallerRequest,
  seen: SeenAnswer,
  startedAtMs: number,
): Promise<Place | undefined> {
  const resumed = method === 'GET' ? {'last-event-id': String(seen.tokens?.length ?? 0)} : {};
  const answer = await request(url, {
    method,
    headers: {...headers, ...resumed, 'content-type': 'application/json'},
    body: method === 'POST' ? body : undefined,
    headersTimeout: timeoutMs,
    bodyTimeout: timeoutMs,
    signal: AbortSignal.timeout(timeoutMs),
  });
  seen.status = answer.statusCode;
  seen.requestId ??= String(answer.headers['x-request-id'] ?? '');
  if (answer.statusCode === STATUS_SEE_OTHER) {
    await answer.body.dump();
    return {url: String(answer.headers.location), method: 'GET'};
  }
  if (isStreamed && answer.statusCode === 200) return readStream(answer, seen, startedAtMs);
  seen.text = await answer.body.text();
  seen.isWhole = true;
  if (answer.statusCode >= 300) Object.assign(seen, readError(seen.text));
  return undefined;
}

async function readStream(
  answer: Dispatcher.ResponseData,
  seen: SeenAnswer,
  startedAtMs: number,
): Promise<Place | undefined> {
  const tokens = (seen.tokens ??= []);
  let location: string | undefined;
  const parser = createParser({
    onEvent: ({data, event}) => {
      if (event === 'error') Object.assign(seen, readError(data));
      else if (event === 'moved') ({location} = JSON.parse(data) as {location: string});
      else if (data === '[DONE]') seen.isWhole = true;
      else addToken(data, tokens, seen, startedAtMs);
    },
  });
  const decoder = new TextDecoder();
  for await (const bytes of answer.body as AsyncIterable<Buffer>) {
    parser.feed(decoder.decode(bytes, {stream: true}));
  }
  return location === undefined ? undefined : {url: location, method: 'GET'};
}

function addToken(data: string, tokens: string[], seen: SeenAnswer, startedAtMs: number): void {
  const token = readToken(data);
  if (token === '') return;
  seen.firstTokenMs ??= Date.now() - startedAtMs;
  tokens.push(token);
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

function isUnconnected(error: unknown): boolean {
  const {code = ''} = error as {readonly code?: string};
  return UNCONNECTED_CODES.includes(code);
}
