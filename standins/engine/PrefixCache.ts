/** Bounded prefix cache of token blocks with LRU eviction. */
import xxhash from 'xxhash-wasm';

/** Number of tokens in a block. */
export const BLOCK_TOKENS = 16;

/** Hash of a block's text and all text before it, as 16 hexadecimal digits. */
export type BlockHash = string;

/** Kind of a cache change; `cleared` affects all blocks and has an empty block hash. */
export type CacheChangeKind = 'stored' | 'removed' | 'cleared';

/** Called for each block that is stored or removed, and once when the cache is cleared. */
export type CacheChangeListener = (kind: CacheChangeKind, blockHash: BlockHash) => void;

const {h64} = await xxhash();
const HEXADECIMAL = 16;
const HASH_DIGITS = 16;

/** Returns the chained hashes of the full blocks of a text; tokens after the last full block are left out. */
export function getBlockHashes(tokens: readonly string[]): readonly BlockHash[] {
  const hashes: BlockHash[] = [];
  let previous = 0n;
  for (let end = BLOCK_TOKENS; end <= tokens.length; end += BLOCK_TOKENS) {
    previous = h64(tokens.slice(end - BLOCK_TOKENS, end).join(''), previous);
    hashes.push(previous.toString(HEXADECIMAL).padStart(HASH_DIGITS, '0'));
  }
  return hashes;
}

/** Holds the hashes of cached blocks, least recently used first. */
export class PrefixCache {
  private readonly maxBlocks: number;
  private readonly onChange: CacheChangeListener;
  private readonly blocks = new Set<BlockHash>();

  /**
   * @param maxTokens - Capacity in tokens, rounded down to full blocks.
   */
  constructor(maxTokens: number, onChange: CacheChangeListener) {
    this.maxBlocks = Math.floor(maxTokens / BLOCK_TOKENS);
    this.onChange = onChange;
  }

  /** Returns the number of tokens in the longest cached prefix, and marks its blocks as used, the first block last. */
  usePrefix(hashes: readonly BlockHash[]): number {
    let found = 0;
    while (found < hashes.length && this.blocks.has(hashes[found])) found += 1;
    for (const hash of hashes.slice(0, found).reverse()) this.markUsed(hash);
    return found * BLOCK_TOKENS;
  }

  /** Stores the blocks of a prefix, the first block last, so that eviction starts at the end of the prefix. */
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

  /** Removes all blocks. */
  clear(): void {
    if (this.blocks.size === 0) return;
    this.blocks.clear();
    this.onChange('cleared', '');
  }

  /** Returns the number of cached tokens. */
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
