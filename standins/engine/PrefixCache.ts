/** Bounded cache of prompt prefixes in blocks; the least recently used block goes first. */
import xxhash from 'xxhash-wasm';

/** Tokens in a block. */
export const BLOCK_TOKENS = 16;

/** Hash of a block's text and of all text before it. */
export type BlockHash = string;

/** What happened to a block; `cleared` concerns all of them. */
export type CacheChangeKind = 'stored' | 'removed' | 'cleared';

/** Called for each change of the cache. */
export type CacheChangeListener = (kind: CacheChangeKind, blockHash: BlockHash) => void;

const {h64} = await xxhash();
const HEXADECIMAL = 16;
const HASH_DIGITS = 16;

/** Returns the chain of hashes of the whole blocks of a text. */
export function getBlockHashes(tokens: readonly string[]): readonly BlockHash[] {
  const hashes: BlockHash[] = [];
  let previous = 0n;
  for (let end = BLOCK_TOKENS; end <= tokens.length; end += BLOCK_TOKENS) {
    previous = h64(tokens.slice(end - BLOCK_TOKENS, end).join(''), previous);
    hashes.push(previous.toString(HEXADECIMAL).padStart(HASH_DIGITS, '0'));
  }
  return hashes;
}

/** Keeps the hashes of cached blocks. */
export class PrefixCache {
  private readonly maxBlocks: number;
  private readonly onChange: CacheChangeListener;
  private readonly blocks = new Set<BlockHash>();

  /**
   * @param maxTokens - Tokens that fit.
   * @param onChange - Called for each change.
   */
  constructor(maxTokens: number, onChange: CacheChangeListener) {
    this.maxBlocks = Math.floor(maxTokens / BLOCK_TOKENS);
    this.onChange = onChange;
  }

  /** Returns the tokens of the longest cached prefix, and marks its blocks as used. */
  usePrefix(hashes: readonly BlockHash[]): number {
    let found = 0;
    while (found < hashes.length && this.blocks.has(hashes[found])) found += 1;
    for (const hash of hashes.slice(0, found).reverse()) this.markUsed(hash);
    return found * BLOCK_TOKENS;
  }

  /** Stores the blocks of a prefix. */
  storePrefix(hashes: readonly BlockHash[]): void {
    for (const hash of hashes.slice(0, this.maxBlocks).reverse()) {
      if (this.blocks.has(hash)) {
        this.markUsed(hash);
        continue;
      }
      this.blocks.add(hash);
      this.onChange('stored', hash);
    }
    this.evict();
  }

  /** Drops everything. */
  clear(): void {
    if (this.blocks.size === 0) return;
    this.blocks.clear();
    this.onChange('cleared', '');
  }

  /** Returns the tokens that are cached. */
  getTokens(): number {
    return this.blocks.size * BLOCK_TOKENS;
  }

  private markUsed(hash: BlockHash): void {
    this.blocks.delete(hash);
    this.blocks.add(hash);
  }

  private evict(): void {
    for (const hash of this.blocks) {
      if (this.blocks.size <= this.maxBlocks) return;
      this.blocks.delete(hash);
      this.onChange('removed', hash);
    }
  }
}
