/** Index of the prompt prefixes in the KV cache of each backend server, as estimated by this entry. */
import {BLOCK_TOKENS} from '../../utils/index.js';

/** A change of a backend server's prefix cache, as the server publishes it. */
export interface CacheEvent {
  /** Consecutive number of the event since the start of the server, from 0. */
  readonly sequence: number;
  readonly kind: 'stored' | 'removed' | 'cleared';
  /** Hash of the block with its whole prefix; undefined for `cleared`. */
  readonly blockHash?: string;
}

/** Consecutive cache events of a backend server, as returned by one read. */
export interface CacheEventSlice {
  /** Sequence number from which events were requested. */
  readonly fromSequence: number;
  readonly events: readonly CacheEvent[];
  /** Sequence number from which to request the next events. */
  readonly nextSequence: number;
  /** Lowest sequence number that the server still keeps. */
  readonly earliestSequence: number;
}

/** What the events of a slice mean for the whole cache. */
export interface CacheEventResult {
  /** Whether events were lost, so that removals may have been missed. */
  readonly hasGap: boolean;
  /** Whether the cache was cleared, by an event or by a restart of the server. */
  readonly isCleared: boolean;
}

/** Options of a `PrefixIndex`. */
export interface PrefixIndexOptions {
  /** Time after its last `stored` event for which a block is assumed to be cached. */
  readonly expiryMs: number;
  /** Time for which a block of a sent prompt is assumed to be cached without a `stored` event. */
  readonly unconfirmedMs: number;
  /** Most blocks to keep for one backend server; the least recently used one is dropped. */
  readonly maxBlocks: number;
}

/** Default times and size of the index. */
export const DEFAULT_PREFIX_INDEX: PrefixIndexOptions = {
  expiryMs: 600_000,
  unconfirmedMs: 30_000,
  maxBlocks: 50_000,
};

interface ServerBlocks {
  /** Time until which each block is assumed to be cached, by hash; least recently used first. */
  readonly expiryByHash: Map<string, number>;
  nextSequence: number;
}

/**
 * Estimates the cached blocks from cache events, which arrive with a delay, and from the prompts that this entry sent.
 *
 * After a gap in the events, every block expires after `unconfirmedMs` at the latest: it may have been removed in the
 * gap, and a block that is still in use is soon confirmed by a new event.
 */
export class PrefixIndex {
  private readonly options: PrefixIndexOptions;
  private readonly servers = new Map<string, ServerBlocks>();

  constructor(options: PrefixIndexOptions = DEFAULT_PREFIX_INDEX) {
    this.options = options;
  }

  /** Returns the sequence number from which to read a server's next events. */
  getNextSequence(instanceId: string): number {
    return this.servers.get(instanceId)?.nextSequence ?? 0;
  }

  /** Applies cache events. A `nextSequence` that went back means that the server has restarted with an empty cache. */
  applyEvents(instanceId: string, slice: CacheEventSlice, nowMs: number): CacheEventResult {
    const server = this.getServer(instanceId);
    const isRestarted = slice.nextSequence < server.nextSequence;
    if (isRestarted) this.clear(server);
    const hasGap = isRestarted || hasMissingSequence(slice);
    if (hasGap) this.capExpiries(server, nowMs);
    let isCleared = isRestarted;
    for (const event of slice.events) {
      if (event.kind === 'cleared') {
        isCleared = true;
        this.clear(server);
      } else if (event.blockHash !== undefined) {
        this.applyBlock(server, event.kind, event.blockHash, nowMs);
      }
    }
    server.nextSequence = slice.nextSequence;
    return {hasGap, isCleared};
  }

  /**
   * Records that a prompt was sent to a backend server, which caches the prompt by running it.
   * @param blockHashes - Hash chain of the prompt.
   */
  recordPrompt(instanceId: string, blockHashes: readonly string[], nowMs: number): void {
    const server = this.getServer(instanceId);
    const expiryAtMs = nowMs + this.options.unconfirmedMs;
    for (const hash of blockHashes) {
      this.setExpiry(server, hash, Math.max(expiryAtMs, server.expiryByHash.get(hash) ?? 0));
    }
  }

  /**
   * Removes blocks of a prompt, when the usage in the response shows that fewer tokens were cached than assumed.
   * @param blockHashes - Hash chain of the prompt from its first uncached block on.
   */
  removeBlocks(instanceId: string, blockHashes: readonly string[]): void {
    const server = this.servers.get(instanceId);
    for (const hash of blockHashes) server?.expiryByHash.delete(hash);
  }

  /**
   * Returns the length of the longest prefix of a prompt that is assumed to be cached, in tokens.
   * @param blockHashes - Hash chain of the prompt.
   */
  getCachedTokens(instanceId: string, blockHashes: readonly string[], nowMs: number): number {
    const server = this.servers.get(instanceId);
    if (!server) return 0;
    const firstMissing = blockHashes.findIndex(
      hash => (server.expiryByHash.get(hash) ?? 0) <= nowMs,
    );
    return (firstMissing === -1 ? blockHashes.length : firstMissing) * BLOCK_TOKENS;
  }

  /** Removes the blocks and the read position of a backend server. */
  removeServer(instanceId: string): void {
    this.servers.delete(instanceId);
  }

  /** Returns the number of blocks in the index, over all backend servers. */
  getBlockCount(): number {
    return [...this.servers.values()].reduce((sum, {expiryByHash}) => sum + expiryByHash.size, 0);
  }

  private getServer(instanceId: string): ServerBlocks {
    const found = this.servers.get(instanceId);
    if (found) return found;
    const created = {expiryByHash: new Map<string, number>(), nextSequence: 0};
    this.servers.set(instanceId, created);
    return created;
  }

  private applyBlock(
    server: ServerBlocks,
    kind: 'stored' | 'removed',
    hash: string,
    nowMs: number,
  ): void {
    if (kind === 'removed') server.expiryByHash.delete(hash);
    else this.setExpiry(server, hash, nowMs + this.options.expiryMs);
  }

  private setExpiry(server: ServerBlocks, hash: string, expiryAtMs: number): void {
    server.expiryByHash.delete(hash);
    server.expiryByHash.set(hash, expiryAtMs);
    if (server.expiryByHash.size <= this.options.maxBlocks) return;
    const [oldest] = server.expiryByHash.keys();
    server.expiryByHash.delete(oldest);
  }

  private clear(server: ServerBlocks): void {
    server.expiryByHash.clear();
  }

  private capExpiries(server: ServerBlocks, nowMs: number): void {
    const maxExpiryAtMs = nowMs + this.options.unconfirmedMs;
    for (const [hash, expiryAtMs] of server.expiryByHash) {
      if (expiryAtMs > maxExpiryAtMs) server.expiryByHash.set(hash, maxExpiryAtMs);
    }
  }
}

function hasMissingSequence({fromSequence, events, nextSequence}: CacheEventSlice): boolean {
  let expected = fromSequence;
  for (const {sequence} of events) {
    if (sequence !== expected) return true;
    expected = sequence + 1;
  }
  return expected !== nextSequence;
}
