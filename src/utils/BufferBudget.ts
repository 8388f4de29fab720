/** Bounds the memory that many buffers take together. */

/** The buffer of one holder. */
export interface BufferAccount {
  /**
   * Sets the size of the buffer. Calls `onExceeded` of the largest buffer if all of them together are too large then;
   * that may be this one.
   * @param bytes - Allocated memory.
   */
  setBytes(bytes: number): void;
  /** Releases the buffer; later calls have no effect. */
  close(): void;
}

interface OpenAccount {
  bytes: number;
  readonly onExceeded: () => void;
}

/** A number of bytes that the buffers of all holders share. */
export class BufferBudget {
  private readonly accounts = new Set<OpenAccount>();
  private readonly maxBytes: number;
  private usedBytes = 0;

  /** @param maxBytes - Memory that all buffers may take together. */
  constructor(maxBytes: number) {
    this.maxBytes = maxBytes;
  }

  /** Memory that all buffers take together, in bytes. */
  get totalBytes(): number {
    return this.usedBytes;
  }

  /**
   * Opens an account for a buffer, which is empty at first.
   * @param onExceeded - Called if this is the largest buffer when all together are too large; must drop its contents
   *     and close the account.
   */
  open(onExceeded: () => void): BufferAccount {
    const account: OpenAccount = {bytes: 0, onExceeded};
    return {
      setBytes: bytes => this.setBytes(account, bytes),
      close: () => this.closeAccount(account),
    };
  }

  private setBytes(account: OpenAccount, bytes: number): void {
    if (bytes === account.bytes) return;
    this.usedBytes += bytes - account.bytes;
    account.bytes = bytes;
    if (bytes === 0) this.accounts.delete(account);
    else this.accounts.add(account);
    if (this.usedBytes > this.maxBytes) this.getLargest()?.onExceeded();
  }

  private closeAccount(account: OpenAccount): void {
    this.usedBytes -= account.bytes;
    account.bytes = 0;
    this.accounts.delete(account);
  }

  private getLargest(): OpenAccount | undefined {
    let largest: OpenAccount | undefined;
    for (const account of this.accounts) {
      if (largest === undefined || account.bytes > largest.bytes) largest = account;
    }
    return largest;
  }
}
