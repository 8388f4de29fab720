/** One HTTP call to a service of the platform, and the shape that its answer must have. */
import {request, type Agent} from 'undici';
import type {z} from 'zod';
import {ServingError, type ErrorKind} from '../errors/index.js';

/** Options of a call. */
export interface PlatformCallOptions<Answer> {
  readonly agent: Agent;
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly url: string;
  /** Sent as JSON. */
  readonly body?: object;
  readonly bearer?: string;
  readonly timeoutMs: number;
  readonly answerSchema: z.ZodType<Answer>;
  readonly signal?: AbortSignal;
}

const HTTP_CONFLICT = 409;

/**
 * Calls a service of the platform.
 * @param options - The call.
 * @throws ServingError of kind `conflict` where the answer is 409, else of kind `backend-failed`.
 */
export async function callPlatform<Answer>(options: PlatformCallOptions<Answer>): Promise<Answer> {
  const {method, url} = options;
  const {status, text} = await exchange(options);
  if (status === HTTP_CONFLICT) throw fail(`${method} ${url} was refused: ${text}`, 'conflict');
  if (status < 200 || status > 299) throw fail(`${method} ${url} gave status ${status}`);
  try {
    return options.answerSchema.parse(text === '' ? {} : JSON.parse(text));
  } catch (cause) {
    throw fail(`${method} ${url} gave an answer of another shape`, 'backend-failed', cause);
  }
}

interface PlatformAnswer {
  readonly status: number;
  readonly text: string;
}

async function exchange(options: PlatformCallOptions<unknown>): Promise<PlatformAnswer> {
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
    throw fail(`${method} ${url} failed: ${reason}`, 'backend-failed', cause);
  }
}

function fail(message: string, kind: ErrorKind = 'backend-failed', cause?: unknown): ServingError {
  return new ServingError(message, {kind, cause});
}
