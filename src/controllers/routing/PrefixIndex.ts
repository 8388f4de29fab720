/** Which prompt prefixes each backend server has cached, as far as this entry knows. */
import {BLOCK_TOKENS} from '../../utils/index.js';

/** A cache event as a backend server publishes it. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'removed' | 'cleared';
  readonly blockHash?: string;
}

/** Part of a backend server's cache events. */
export interface CacheEventSlice {
  /** Sequence that was asked for. */
  readonly fromSequence: number;
  readonly events: readonly CacheEvent[];
  readonly nextSequence: number;
  readonly earliestSequence: number;
}

/** What a slice showed. */
export interface CacheEventResult {
  /** Whether events were lost, so that removals may have been missed. */
  readonly hasGap: boolean;
  /** Whether the cache was cleared. */
  readonly isCleared: boolean;
}

/** Options of a `PrefixIndex`. */
export interface PrefixIndexOptions {
  /** Time after which a block that was neither used nor confirmed is forgotten. */
  readonly expiryMs: number;
  /** Time for which a block that this entry sent is believed without an event. */
  readonly unconfirmedMs: number;
  /** Blocks kept for one backend server. */
  readonly maxBlocks: number;
}

/** Defaults of the index. */
export const DEFAULT_PREFIX_INDEX: PrefixIndexOptions = {
  expiryMs: 600_000,
  unconfirmedMs: 30_000,
  maxBlocks: 50_000,
};

interface ServerPrefixes {
  /** Instant until which each block is believed to be cached, oldest use first. */
  readonly untilMs: Map<string, number>;
  nextSequence: number;
}

/**
 * Learns from late cache events and from what this entry sent.
 *
 * After a gap every block is kept for a short time only: whether it was removed in the gap is not known, and what is
 * still in use is soon confirmed again.
 */
export class PrefixIndex {
  private readonly options: PrefixIndexOptions;
  private readonly servers = new Map<string, ServerPrefixes>();

  constructor(options: PrefixIndexOptions = DEFAULT_PREFIX_INDEX) {
    this.options = options;
  }

  /**
   * Returns the sequence from which to read a server's next events.
   * @param instanceId - The backend server.
   */
  getNextSequence(instanceId: string): number {
    return this.servers.get(instanceId)?.nextSequence ?? 0;
  }

  /**
   * Takes events of a backend server.
   * @param instanceId - The backend server.
   * @param slice - The events read.
   * @param nowMs - Present time.
   */
  applyEvents(instanceId: string, slice: CacheEventSlice, nowMs: number): CacheEventResult {
    const server = this.getServer(instanceId);
    const isRestarted = slice.nextSequence < server.nextSequence;
    if (isRestarted) this.clear(server);
    const hasGap = isRestarted || hasMissingSequence(slice);
    if (hasGap) this.shortenAll(server, nowMs);
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
   * Notes that a prompt was sent to a backend server, which caches it by running it.
   * @param instanceId - The backend server.
   * @param blockHashes - Hash chain of the prompt.
   * @param nowMs - Present time.
   */
  addSent(instanceId: string, blockHashes: readonly string[], nowMs: number): void {
    const server = this.getServer(instanceId);
    const untilMs = nowMs + this.options.unconfirmedMs;
    for (const hash of blockHashes) {
      this.keep(server, hash, Math.max(untilMs, server.untilMs.get(hash) ?? 0));
    }
  }

  /**
   * Takes back what was noted for a prompt, where the answer's usage shows that less of it was cached.
   * @param instanceId - The backend server.
   * @param blockHashes - Hash chain of the prompt from its first uncached block on.
   */
  removeBlocks(instanceId: string, blockHashes: readonly string[]): void {
    const server = this.servers.get(instanceId);
    for (const hash of blockHashes) server?.untilMs.delete(hash);
  }

  /**
   * Returns the longest cached prefix in tokens.
   * @param instanceId - The backend server.
   * @param blockHashes - Hash chain of the prompt.
   * @param nowMs - Present time.
   */
  getCachedTokens(instanceId: string, blockHashes: readonly string[], nowMs: number): number {
    const server = this.servers.get(instanceId);
    if (!server) return 0;
    const missing = blockHashes.findIndex(hash => (server.untilMs.get(hash) ?? 0) <= nowMs);
    return (missing === -1 ? blockHashes.length : missing) * BLOCK_TOKENS;
  }

  /**
   * Forgets a backend server.
   * @param instanceId - The backend server.
   */
  removeServer(instanceId: string): void {
    this.servers.delete(instanceId);
  }

  /** Returns how many blocks are kept over all backend servers. */
  getBlockCount(): number {
    return [...this.servers.values()].reduce((sum, {untilMs}) => sum + untilMs.size, 0);
  }

  private getServer(instanceId: string): ServerPrefixes {
    const found = this.servers.get(instanceId);
    if (found) return found;
    const created = {untilMs: new Map<string, number>(), nextSequence: 0};
    this.servers.set(instanceId, created);
    return created;
  }

  private applyBlock(
    server: ServerPrefixes,
    kind: 'stored' | 'removed',
    hash: string,
    nowMs: number,
  ): void {
    if (kind === 'removed') server.untilMs.delete(hash);
    else this.keep(server, hash, nowMs + this.options.expiryMs);
  }

  private keep(server: ServerPrefixes, hash: string, untilMs: number): void {
    server.untilMs.delete(hash);
    server.untilMs.set(hash, untilMs);
    if (server.untilMs.size <= this.options.maxBlocks) return;
    const [oldest] = server.untilMs.keys();
    server.untilMs.delete(oldest);
  }

  private clear(server: ServerPrefixes): void {
    server.untilMs.clear();
  }

  private shortenAll(server: ServerPrefixes, nowMs: number): void {
    const latestMs = nowMs + this.options.unconfirmedMs;
    for (const [hash, untilMs] of server.untilMs) {
      if (untilMs > latestMs) server.untilMs.set(hash, latestMs);
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
