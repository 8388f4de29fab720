/** Responses to callers: JSON bodies, errors with the HTTP status of their kind, and redirects. */
import type {ServerResponse} from 'node:http';
import {getErrorResponseRule, type ServingError} from '../errors/index.js';

const MS_PER_SECOND = 1_000;
const STATUS_SEE_OTHER = 303;

/** Response header with the request id that this entry assigned. */
export const REQUEST_ID_HEADER = 'x-request-id';

/** JSON body of every error response. */
export interface ErrorBody {
  readonly error: {
    readonly message: string;
    /** Same value as `kind`, under the field name that OpenAI-compatible clients read. */
    readonly type: string;
    readonly kind: string;
    /** Whether the request was executed: `ran`, `not-run` or `unknown`. */
    readonly run: string;
    /** Time after which the caller should retry; absent if none is recommended. */
    readonly retryAfterMs?: number;
    readonly requestId: string;
  };
}

/** Sends a JSON response; does nothing if the headers were already sent or the connection is closed. */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
  if (response.headersSent || response.destroyed) return;
  const body = Buffer.from(JSON.stringify(value));
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': body.length,
  });
  response.end(body);
}

/** Returns the response body of an error. */
export function createErrorBody(error: ServingError, requestId: string): ErrorBody {
  const {kind, message, run, retryAfterMs} = error;
  return {error: {message, type: kind, kind, run, retryAfterMs, requestId}};
}

/**
 * Sends an error response; if the headers of a stream were already sent, ends the stream with an `error` event instead.
 */
export function sendError(response: ServerResponse, error: ServingError, requestId: string): void {
  if (response.destroyed) return;
  const body = createErrorBody(error, requestId);
  if (response.headersSent) {
    response.end(`event: error\ndata: ${JSON.stringify(body)}\n\n`);
    return;
  }
  if (error.retryAfterMs !== undefined) {
    response.setHeader('retry-after', Math.ceil(error.retryAfterMs / MS_PER_SECOND));
  }
  response.setHeader('x-buckthorn-run', error.run);
  sendJson(response, getErrorResponseRule(error.kind).status, body);
}

/** Redirects the caller with 303 See Other to the URL at which another entry serves the response. */
export function sendSeeOther(response: ServerResponse, location: string): void {
  response.writeHead(STATUS_SEE_OTHER, {location, 'content-length': 0});
  response.end();
}
