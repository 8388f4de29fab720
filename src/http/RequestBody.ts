/** Reads callers' bodies within bounds of size and time. */
import type {IncomingMessage} from 'node:http';
import {ServingError} from '../errors/index.js';

/** Bounds of a body. */
export interface BodyLimits {
  readonly maxBytes: number;
  readonly timeoutMs: number;
}

/**
 * Reads a whole body.
 * @param request - The request.
 * @param limits - Bounds of size and time.
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
      reject(new ServingError(`body took more than ${timeoutMs} ms`, {kind: 'body-timeout'}));
    }, timeoutMs);
    const finish = (act: () => void) => {
      clearTimeout(timer);
      act();
    };
    request.on('data', (part: Buffer) => {
      bytes += part.length;
      if (bytes > maxBytes) finish(() => reject(createTooLargeError(maxBytes)));
      else parts.push(part);
    });
    request.on('end', () => finish(() => resolve(Buffer.concat(parts))));
    request.on('error', cause =>
      finish(() => reject(new ServingError('body broke off', {kind: 'bad-request', cause}))),
    );
    request.on('aborted', () =>
      finish(() => reject(new ServingError('body broke off', {kind: 'bad-request'}))),
    );
  });
}

/**
 * Parses a body as JSON.
 * @param body - The body.
 * @throws ServingError of kind `bad-request`.
 */
export function parseJsonBody(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8')) as unknown;
  } catch (cause) {
    throw new ServingError('body is not JSON', {kind: 'bad-request', cause});
  }
}

function createTooLargeError(maxBytes: number): ServingError {
  return new ServingError(`body is larger than ${maxBytes} bytes`, {kind: 'body-too-large'});
}
