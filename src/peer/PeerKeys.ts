/** The deployment's shared keys, with which its daemons authenticate to each other. */
import {createHash, timingSafeEqual} from 'node:crypto';
import {ServingError} from '../errors/index.js';

/** HTTP header that carries the deployment key. */
export const PEER_KEY_HEADER = 'x-buckthorn-deployment-key';

const MAX_KEYS = 2;

/** One key, or two during a rotation: outgoing calls use the first, incoming calls may use either. */
export class PeerKeys {
  private readonly keys: readonly string[];
  private readonly digests: readonly Buffer[];

  /**
   * @param keys - One or two keys, the first one for outgoing calls.
   * @throws ServingError of kind `invalid-settings` if there are none, more than two, or an empty one.
   */
  constructor(keys: readonly string[]) {
    if (keys.length === 0 || keys.length > MAX_KEYS || keys.includes('')) {
      throw new ServingError(`expected one or two non-empty deployment keys, got ${keys.length}`, {
        kind: 'invalid-settings',
      });
    }
    this.keys = keys;
    this.digests = keys.map(digest);
  }

  /** Returns the key for outgoing calls. */
  getSendingKey(): string {
    return this.keys[0];
  }

  /**
   * Returns whether a key is valid. Compares digests in constant time, to prevent timing attacks.
   * @param key - Key of an incoming call; undefined if it had none.
   */
  isValid(key: string | undefined): boolean {
    const keyDigest = digest(key ?? '');
    return this.digests.map(validDigest => timingSafeEqual(validDigest, keyDigest)).includes(true);
  }
}

function digest(key: string): Buffer {
  return createHash('sha256').update(key).digest();
}
