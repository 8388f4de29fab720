/** The fingerprint of a request: what a caller that sends it again sends unchanged. */
import {createHash} from 'node:crypto';

/** What a fingerprint is made of. */
export interface FingerprintParts {
  readonly workspace: string;
  readonly method: string;
  readonly path: string;
  readonly body: Uint8Array;
}

/**
 * Returns the fingerprint of a request.
 * @param parts - What the caller sent.
 */
export function getFingerprint({workspace, method, path, body}: FingerprintParts): string {
  const hash = createHash('sha256');
  hash.update(`${workspace}\n${method}\n${path}\n`);
  return hash.update(body).digest('hex');
}
