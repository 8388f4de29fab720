/** Sends one request of a caller and records the response. */
import {createParser} from 'eventsource-parser';
import {request, type Dispatcher} from 'undici';
import type {CallAttempt} from './CallRecord.js';

/** HTTP request of a caller, relative to the URL of an entry; `timeoutMs` applies to each location of the response. */
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

/** Received part of a response; contains the tokens of all entries that sent a part of it. */
interface ReceivedResponse {
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

/** URL from which the response, or the rest of it, is read. */
interface ResponseLocation {
  readonly url: string;
  readonly method: 'GET' | 'POST';
}

/** Maximum number of URLs that one response is read from. */
const MAX_LOCATIONS = 5;
const CONNECT_ERROR_CODES: readonly string[] = ['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT'];
const STATUS_SEE_OTHER = 303;

/**
 * Sends a request to an entry, and follows redirects and `moved` events to the rest of the response. Never throws: a failed
 * connection is recorded in the returned attempt.
 */
export async function sendCallerRequest(
  entryUrl: string,
  callerRequest: CallerRequest,
): Promise<CallAttempt> {
  const startedAtMs = Date.now();
  const received: ReceivedResponse = {isConnected: true, isWhole: false};
  let responseLocation: ResponseLocation | undefined = {
    url: entryUrl + callerRequest.path,
    method: 'POST',
  };
  try {
    for (let requestCount = 0; responseLocation && requestCount < MAX_LOCATIONS; requestCount++) {
      responseLocation = await receiveResponse(
        responseLocation,
        callerRequest,
        received,
        startedAtMs,
      );
    }
  } catch (error) {
    // What was received before the connection failed is kept.
    received.isConnected = received.status !== undefined || !isConnectError(error);
  }
  return {...received, entryUrl, startedAtMs, endedAtMs: Date.now()};
}

async function receiveResponse(
  {url, method}: ResponseLocation,
  {headers, body, isStreamed, timeoutMs}: CallerRequest,
  received: ReceivedResponse,
  startedAtMs: number,
): Promise<ResponseLocation | undefined> {
  const resumeHeaders =
    method === 'GET' ? {'last-event-id': String(received.tokens?.length ?? 0)} : {};
  const response = await request(url, {
    method,
    headers: {...headers, ...resumeHeaders, 'content-type': 'application/json'},
    body: method === 'POST' ? body : undefined,
    headersTimeout: timeoutMs,
    bodyTimeout: timeoutMs,
    signal: AbortSignal.timeout(timeoutMs),
  });
  received.status = response.statusCode;
  received.requestId ??= String(response.headers['x-request-id'] ?? '');
  if (response.statusCode === STATUS_SEE_OTHER) {
    await response.body.dump();
    return {url: String(response.headers.location), method: 'GET'};
  }
  if (isStreamed && response.statusCode === 200) return readStream(response, received, startedAtMs);
  received.text = await response.body.text();
  received.isWhole = true;
  if (response.statusCode >= 300) Object.assign(received, readError(received.text));
  return undefined;
}

async function readStream(
  response: Dispatcher.ResponseData,
  received: ReceivedResponse,
  startedAtMs: number,
): Promise<ResponseLocation | undefined> {
  const tokens = (received.tokens ??= []);
  let location: string | undefined;
  const parser = createParser({
    onEvent: ({data, event}) => {
      if (event === 'error') Object.assign(received, readError(data));
      else if (event === 'moved') ({location} = JSON.parse(data) as {location: string});
      else if (data === '[DONE]') received.isWhole = true;
      else addToken(data, tokens, received, startedAtMs);
    },
  });
  const decoder = new TextDecoder();
  for await (const bytes of response.body as AsyncIterable<Buffer>) {
    parser.feed(decoder.decode(bytes, {stream: true}));
  }
  return location === undefined ? undefined : {url: location, method: 'GET'};
}

function addToken(
  data: string,
  tokens: string[],
  received: ReceivedResponse,
  startedAtMs: number,
): void {
  const token = readToken(data);
  if (token === '') return;
  received.firstTokenMs ??= Date.now() - startedAtMs;
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

function isConnectError(error: unknown): boolean {
  const {code = ''} = error as {readonly code?: string};
  return CONNECT_ERROR_CODES.includes(code);
}
