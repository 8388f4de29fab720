/** Fingerprint of a request: a hash of what stays the same when a caller sends the request again. */
import {createHash} from 'node:crypto';

/** Parts of a request that its fingerprint covers. */
export interface FingerprintInput {
  readonly workspace: string;
  readonly method: string;
  readonly path: string;
  readonly body: Uint8Array;
}

/** Returns the fingerprint of a request as a SHA-256 digest in hexadecimal. */
export function getFingerprint({workspace, method, path, body}: FingerprintInput): string {
  const hash = createHash('sha256');
  hash.update(`${workspace}\n${method}\n${path}\n`);
  return hash.update(body).digest('hex');
}
