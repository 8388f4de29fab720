/** Bodies of requests while they arrive, in blocks that are reused. */

/** An incomplete body wastes less than this. */
const BLOCK_BYTES = 8_192;
const NO_BYTES = Buffer.alloc(0);
/** Chunks up to this size are copied byte by byte, which takes less time than a call of `copy`. */
const SMALL_CHUNK_BYTES = 16;

/** Blocks of equal size. Released ones are kept for reuse, as the garbage collector frees memory late under load. */
export class BlockPool {
  private readonly maxFreeBlocks: number;
  private readonly freeBlocks: Buffer[] = [];

  /** @param maxFreeBytes - Memory of unused blocks that is kept for reuse. */
  constructor(maxFreeBytes: number) {
    this.maxFreeBlocks = Math.floor(maxFreeBytes / BLOCK_BYTES);
  }

  /** Returns a block with any contents. */
  take(): Buffer {
    return this.freeBlocks.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  /** Takes back blocks that are no longer used. */
  release(blocks: readonly Buffer[]): void {
    for (const block of blocks) {
      if (this.freeBlocks.length >= this.maxFreeBlocks) return;
      this.freeBlocks.push(block);
    }
  }
}

/** One body that arrives in chunks of any size; its memory doesn't depend on their number. */
export class BodyBlocks {
  private readonly pool: BlockPool;
  private blocks: Buffer[] = [];
  private lastBlock: Buffer = NO_BYTES;
  /** Used bytes of the last block. */
  private position = 0;
  private bytes = 0;

  constructor(pool: BlockPool) {
    this.pool = pool;
  }

  /** Number of bytes. */
  get length(): number {
    return this.bytes;
  }

  /** Allocated memory in bytes. */
  get allocatedBytes(): number {
    return this.blocks.length * BLOCK_BYTES;
  }

  /** Copies a chunk. */
  append(chunk: Buffer): void {
    const {length} = chunk;
    this.bytes += length;
    if (length <= SMALL_CHUNK_BYTES && length <= this.lastBlock.length - this.position) {
      for (let index = 0; index < length; index += 1) {
        this.lastBlock[this.position + index] = chunk[index];
      }
      this.position += length;
      return;
    }
    for (let start = 0; start < length;) {
      if (this.position === this.lastBlock.length) this.addBlock();
      const copiedBytes = chunk.copy(this.lastBlock, this.position, start);
      this.position += copiedBytes;
      start += copiedBytes;
    }
  }

  /** Returns the body in memory of its own, and releases the blocks. */
  takeBytes(): Buffer {
    if (this.bytes === 0) return NO_BYTES;
    const bytes = Buffer.concat(this.blocks, this.bytes);
    this.release();
    return bytes;
  }

  /** Drops the contents. */
  release(): void {
    this.pool.release(this.blocks);
    this.blocks = [];
    this.lastBlock = NO_BYTES;
    this.position = 0;
    this.bytes = 0;
  }

  private addBlock(): void {
    this.lastBlock = this.pool.take();
    this.blocks.push(this.lastBlock);
    this.position = 0;
  }
}
