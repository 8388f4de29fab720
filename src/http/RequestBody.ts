/** Reads and parses request bodies, with limits of size and time. */
import type {IncomingMessage} from 'node:http';
import {ServingError} from '../errors/index.js';

/** Limits of a request body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Longest time for reading the body, from the call of `readBody`. */
  readonly timeoutMs: number;
}

/**
 * Reads a complete request body into memory. A body with a too large `content-length` is refused before it is read.
 * @throws ServingError of kind `body-too-large`, `body-timeout` or `bad-request`.
 */
export async function readBody(request: IncomingMessage, limits: BodyLimits): Promise<Buffer> {
  const {maxBytes, timeoutMs} = limits;
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  if (declaredBytes > maxBytes) throw createTooLargeError(maxBytes);
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    let bytes = 0;
    const timer = setTimeout(() => {
      reject(
        new ServingError(`the request body took more than ${timeoutMs} ms`, {kind: 'body-timeout'}),
      );
    }, timeoutMs);
    const settle = (complete: () => void) => {
      clearTimeout(timer);
      complete();
    };
    request.on('data', (part: Buffer) => {
      bytes += part.length;
      if (bytes > maxBytes) settle(() => reject(createTooLargeError(maxBytes)));
      else parts.push(part);
    });
    request.on('end', () => settle(() => resolve(Buffer.concat(parts))));
    request.on('error', cause =>
      settle(() =>
        reject(new ServingError('the request body was truncated', {kind: 'bad-request', cause})),
      ),
    );
    request.on('aborted', () =>
      settle(() =>
        reject(new ServingError('the request body was truncated', {kind: 'bad-request'})),
      ),
    );
  });
}

/**
 * Parses a request body as UTF-8 encoded JSON.
 * @throws ServingError of kind `bad-request` if it is not valid JSON.
 */
export function parseJsonBody(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8')) as unknown;
  } catch (cause) {
    throw new ServingError('the request body is not valid JSON', {kind: 'bad-request', cause});
  }
}

function createTooLargeError(maxBytes: number): ServingError {
  return new ServingError(`the request body is larger than ${maxBytes} bytes`, {
    kind: 'body-too-large',
  });
}
