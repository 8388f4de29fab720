/** Bounds the memory that requests of callers take, and decides whose request is dropped if it is exhausted. */

/** Memory of one request, or of a head that is still arriving. */
export interface IncomingAccount {
  /**
   * Sets the memory in bytes. Calls `onDropped` of other requests, or of this one, until all of them together are within
   * the budget, or only complete ones are left.
   */
  setBytes(bytes: number): void;
  /** Marks the request as passed on: it counts until it is closed, but isn't dropped any more. */
  complete(): void;
  /** Releases the memory; later calls have no effect. */
  close(): void;
}

/** Requests of one source address. */
interface Source {
  readonly name: string;
  bytes: number;
  openAccounts: number;
  /** Requests that may be dropped. */
  readonly incomplete: Set<OpenAccount>;
}

/** Account with its state; callers of `open` get the functions on it. */
interface OpenAccount {
  bytes: number;
  isOpen: boolean;
  readonly source: Source;
  readonly onDropped: () => void;
}

/** Share of the budget that one source may take; the rest is left to the others, also while its requests run. */
const MAX_SOURCE_SHARE = 0.75;

/** Memory that is shared by all requests that callers have sent and that haven't been answered. */
export class IncomingBudget {
  private readonly maxBytes: number;
  private readonly sources = new Map<string, Source>();
  private usedBytes = 0;

  /** @param maxBytes - Memory that all requests may take together. */
  constructor(maxBytes: number) {
    this.maxBytes = maxBytes;
  }

  /** Memory that all requests take together, in bytes. */
  get totalBytes(): number {
    return this.usedBytes;
  }

  /**
   * Opens an account for a request, which takes nothing at first.
   * @param sourceName - Address of the caller.
   * @param onDropped - Called if the request is dropped; its account is closed then. Must release its memory.
   */
  open(sourceName: string, onDropped: () => void): IncomingAccount {
    const source = this.getSource(sourceName);
    const account: OpenAccount = {bytes: 0, isOpen: true, source, onDropped};
    source.openAccounts += 1;
    source.incomplete.add(account);
    return {
      setBytes: bytes => this.setBytes(account, bytes),
      complete: () => source.incomplete.delete(account),
      close: () => this.close(account),
    };
  }

  private getSource(name: string): Source {
    const found = this.sources.get(name);
    if (found) return found;
    const source: Source = {name, bytes: 0, openAccounts: 0, incomplete: new Set()};
    this.sources.set(name, source);
    return source;
  }

  private setBytes(account: OpenAccount, bytes: number): void {
    if (!account.isOpen) return;
    const addedBytes = bytes - account.bytes;
    this.usedBytes += addedBytes;
    account.source.bytes += addedBytes;
    account.bytes = bytes;
    if (addedBytes <= 0) return;
    const maxSourceBytes = this.maxBytes * MAX_SOURCE_SHARE;
    while (account.source.bytes > maxSourceBytes && this.drop(account.source));
    while (this.usedBytes > this.maxBytes && this.drop(this.getLargestSource()));
  }

  private close(account: OpenAccount): void {
    if (!account.isOpen) return;
    const {source} = account;
    account.isOpen = false;
    this.usedBytes -= account.bytes;
    source.bytes -= account.bytes;
    source.openAccounts -= 1;
    source.incomplete.delete(account);
    if (source.openAccounts === 0) this.sources.delete(source.name);
  }

  /** Drops the largest incomplete request of a source; returns false if it has none. */
  private drop(source: Source | undefined): boolean {
    let largest: OpenAccount | undefined;
    for (const account of source?.incomplete ?? []) {
      if (largest === undefined || account.bytes > largest.bytes) largest = account;
    }
    if (!largest) return false;
    this.close(largest);
    largest.onDropped();
    return true;
  }

  /** Returns the source that takes most, among those with incomplete requests. */
  private getLargestSource(): Source | undefined {
    let largest: Source | undefined;
    for (const source of this.sources.values()) {
      if (source.incomplete.size === 0) continue;
      if (largest === undefined || source.bytes > largest.bytes) largest = source;
    }
    return largest;
  }
}
