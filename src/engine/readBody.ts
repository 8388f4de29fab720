/** Reads the complete body of a backend server's response, up to a size that no sound response exceeds. */
import type {Readable} from 'node:stream';
import {ByteBuffer} from '../utils/index.js';

/** Size of a response that isn't streamed, and of one event of a stream. */
export const MAX_BODY_BYTES = 4_194_304;

/**
 * Returns the body. Rejects, and closes the connection, if it is larger than `MAX_BODY_BYTES`; rejects with the
 * stream's own error if the connection ends early.
 * @param body - Body of a response that nothing has read from.
 */
export function readBody(body: Readable): Promise<Buffer> {
  const bytes = new ByteBuffer();
  return new Promise((resolve, reject) => {
    body.on('data', (chunk: Buffer) => {
      bytes.append(chunk);
      if (bytes.length <= MAX_BODY_BYTES) return;
      body.destroy(new Error(`the response is larger than ${MAX_BODY_BYTES} bytes`));
    });
    body.once('error', reject);
    body.once('end', () => resolve(bytes.getBytes()));
  });
}

/** Reads a body as `readBody` does, and parses it as JSON. */
export async function readJson(body: Readable): Promise<unknown> {
  return JSON.parse((await readBody(body)).toString()) as unknown;
}
