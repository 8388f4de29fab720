/** Bytes that are received in chunks of any size and kept as one buffer. */

const NO_BYTES = Buffer.alloc(0);
const MIN_CAPACITY_BYTES = 1_024;
const GROWTH_FACTOR = 2;

/**
 * Collects chunks. Appending takes amortized constant time for each byte, and many small chunks take no more memory than
 * a few large ones.
 */
export class ByteBuffer {
  private bytes: Buffer = NO_BYTES;
  private usedBytes = 0;
  /** Whether bytes may be written behind the used ones; false if the memory belongs to a chunk. */
  private isExtensible = false;

  /** Number of bytes. */
  get length(): number {
    return this.usedBytes;
  }

  /** Allocated memory in bytes. */
  get capacityBytes(): number {
    return this.bytes.length;
  }

  /** Appends a chunk, which must not be changed afterwards. */
  append(chunk: Buffer): void {
    if (this.usedBytes === 0) {
      this.bytes = chunk;
      this.usedBytes = chunk.length;
      this.isExtensible = false;
      return;
    }
    const neededBytes = this.usedBytes + chunk.length;
    if (!this.isExtensible || neededBytes > this.bytes.length) this.grow(neededBytes);
    chunk.copy(this.bytes, this.usedBytes);
    this.usedBytes = neededBytes;
  }

  /** Returns the bytes without copying them; later calls don't change what was returned. */
  getBytes(): Buffer {
    return this.bytes.subarray(0, this.usedBytes);
  }

  /**
   * Removes bytes from the beginning.
   * @param count - At most `length`.
   */
  removeFirst(count: number): void {
    if (count === 0) return;
    this.bytes = this.bytes.subarray(count, this.usedBytes);
    this.usedBytes = this.bytes.length;
    this.isExtensible = false;
    if (this.usedBytes === 0) this.bytes = NO_BYTES;
  }

  private grow(neededBytes: number): void {
    const capacityBytes = Math.max(MIN_CAPACITY_BYTES, neededBytes, this.usedBytes * GROWTH_FACTOR);
    const bytes = Buffer.allocUnsafe(capacityBytes);
    this.bytes.copy(bytes, 0, 0, this.usedBytes);
    this.bytes = bytes;
    this.isExtensible = true;
  }
}
