/** HTTP calls to the services of the platform and to entries, with validation of the response. */
import {request, type Agent} from 'undici';
import type {z} from 'zod';
import {ServingError, type ErrorKind} from '../errors/index.js';

/** HTTP request of a call, its timeout, and the schema of its response. */
export interface PlatformCallOptions<Response> {
  readonly agent: Agent;
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly url: string;
  /** Sent as JSON. */
  readonly body?: object;
  /** Bearer token of the `authorization` header; undefined to send none. */
  readonly bearer?: string;
  readonly timeoutMs: number;
  /** Schema of the JSON response; an empty response body counts as `{}`. */
  readonly responseSchema: z.ZodType<Response>;
  /** Cancels the call in addition to the timeout. */
  readonly signal?: AbortSignal;
}

const HTTP_CONFLICT = 409;

/**
 * Sends an HTTP request and returns the parsed response.
 * @throws ServingError of kind `conflict` if the response status is 409, else of kind `backend-failed`.
 */
export async function callPlatform<Response>(
  options: PlatformCallOptions<Response>,
): Promise<Response> {
  const {method, url} = options;
  const {status, text} = await sendRequest(options);
  if (status === HTTP_CONFLICT)
    throw createError(`${method} ${url} was refused: ${text}`, 'conflict');
  if (status < 200 || status > 299) throw createError(`${method} ${url} returned status ${status}`);
  try {
    return options.responseSchema.parse(text === '' ? {} : JSON.parse(text));
  } catch (cause) {
    throw createError(`${method} ${url} returned an invalid response`, 'backend-failed', cause);
  }
}

interface PlatformResponse {
  readonly status: number;
  readonly text: string;
}

async function sendRequest(options: PlatformCallOptions<unknown>): Promise<PlatformResponse> {
  const {agent, method, url, body, bearer, timeoutMs, signal} = options;
  const timeout = AbortSignal.timeout(timeoutMs);
  try {
    const response = await request(url, {
      method,
      dispatcher: agent,
      body: body && JSON.stringify(body),
      headers: {
        ...(body && {'content-type': 'application/json'}),
        ...(bearer !== undefined && {authorization: `Bearer ${bearer}`}),
      },
      signal: signal ? AbortSignal.any([signal, timeout]) : timeout,
    });
    return {status: response.statusCode, text: await response.body.text()};
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    throw createError(`${method} ${url} failed: ${reason}`, 'backend-failed', cause);
  }
}

function createError(
  message: string,
  kind: ErrorKind = 'backend-failed',
  cause?: unknown,
): ServingError {
  return new ServingError(message, {kind, cause});
}
