/** The deployment's keys, with which its daemons know each other. */
import {createHash, timingSafeEqual} from 'node:crypto';
import {ServingError} from '../errors/index.js';

/** Header that carries the key. */
export const PEER_KEY_HEADER = 'x-buckthorn-deployment-key';

const MAX_KEYS = 2;

/** One key, or two while they are rotated: calls are made with the first and taken with any. */
export class PeerKeys {
  private readonly keys: readonly string[];
  private readonly digests: readonly Buffer[];

  /**
   * @param keys - The keys; never empty.
   * @throws ServingError of kind `invalid-settings` where there are none, too many or an empty one.
   */
  constructor(keys: readonly string[]) {
    if (keys.length === 0 || keys.length > MAX_KEYS || keys.includes('')) {
      throw new ServingError(`one or two deployment keys are needed, ${keys.length} were given`, {
        kind: 'invalid-settings',
      });
    }
    this.keys = keys;
    this.digests = keys.map(digest);
  }

  /** Returns the key for calls to others. */
  getSendingKey(): string {
    return this.keys[0];
  }

  /**
   * Returns whether a key is valid, in a time that doesn't depend on where it differs.
   * @param key - Key of a call; undefined where it had none.
   */
  isValid(key: string | undefined): boolean {
    const given = digest(key ?? '');
    return this.digests.map(known => timingSafeEqual(known, given)).includes(true);
  }
}

function digest(key: string): Buffer {
  return createHash('sha256').update(key).digest();
}
