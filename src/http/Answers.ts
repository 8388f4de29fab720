/** Answers to callers: JSON bodies, and errors by the table of kinds. */
import type {ServerResponse} from 'node:http';
import {getAnswerRule, type ServingError} from '../errors/index.js';

const MS_PER_SECOND = 1_000;
const STATUS_SEE_OTHER = 303;

/** Header that carries the id of a request back to its caller. */
export const REQUEST_ID_HEADER = 'x-request-id';

/** Body of every refusal and failure. */
export interface ErrorAnswer {
  readonly error: {
    readonly message: string;
    /** Same as `kind`; the field that OpenAI-compatible clients read. */
    readonly type: string;
    readonly kind: string;
    readonly run: string;
    readonly retryAfterMs?: number;
    readonly requestId: string;
  };
}

/**
 * Sends a JSON body.
 * @param response - Where to send it.
 * @param status - HTTP status.
 * @param value - What to encode.
 */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
  if (response.headersSent || response.destroyed) return;
  const body = Buffer.from(JSON.stringify(value));
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': body.length,
  });
  response.end(body);
}

/** Returns the body that tells a caller of an error. */
export function createErrorAnswer(error: ServingError, requestId: string): ErrorAnswer {
  const {kind, message, run, retryAfterMs} = error;
  return {error: {message, type: kind, kind, run, retryAfterMs, requestId}};
}

/**
 * Answers with an error, or ends a stream that has begun with an error event.
 * @param response - Where to send it.
 * @param error - What went wrong.
 * @param requestId - Id of the request.
 */
export function sendError(response: ServerResponse, error: ServingError, requestId: string): void {
  if (response.destroyed) return;
  const answer = createErrorAnswer(error, requestId);
  if (response.headersSent) {
    response.end(`event: error\ndata: ${JSON.stringify(answer)}\n\n`);
    return;
  }
  if (error.retryAfterMs !== undefined) {
    response.setHeader('retry-after', Math.ceil(error.retryAfterMs / MS_PER_SECOND));
  }
  response.setHeader('x-buckthorn-run', error.run);
  sendJson(response, getAnswerRule(error.kind).status, answer);
}

/**
 * Sends a caller elsewhere for the answer.
 * @param response - Where to send it.
 * @param location - URL of the answer.
 */
export function sendSeeOther(response: ServerResponse, location: string): void {
  response.writeHead(STATUS_SEE_OTHER, {location, 'content-length': 0});
  response.end();
}
