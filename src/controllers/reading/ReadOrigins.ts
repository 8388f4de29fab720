/**
 * Keeps apart which reads of a shared log a gateway has heard of. A read that is told again, by any path, is recognised:
 * it can only turn out to be older than it seemed, since every path adds time in transit that its age doesn't include.
 */

/** A read of a log, as one gateway tells it to another. */
export interface RelayedRead {
  /** Key of the start of the gateway that read the log itself; 0 if it is unknown. */
  readonly readerKey: number;
  /** Number of the read among those of its reader, from 1. */
  readonly readNumber: number;
  /** Time since the read, without the time in transit between gateways. */
  readonly ageMs: number;
}

/** A read with the monotonic time at which it is believed to have been made. */
interface KnownRead {
  readonly readerKey: number;
  readonly readNumber: number;
  readonly readAtMs: number;
}

/** Nothing has been read or heard of. */
const NO_READ: RelayedRead = {readerKey: 0, readNumber: 0, ageMs: Infinity};
/** Reads that are older are not applied any more; what is remembered of their readers is dropped later than that. */
const MAX_AGE_MS = 60_000;
const RETENTION_MS = 2 * MAX_AGE_MS;

/** Remembers the newest read of each reader. */
export class ReadOrigins {
  private readonly byReader = new Map<number, KnownRead>();
  private ownReads = 0;

  /**
   * Records a read of this gateway itself.
   * @param readerKey - Key of this gateway's start.
   * @param readAtMs - Monotonic time of the read.
   */
  addOwnRead(readerKey: number, readAtMs: number): void {
    this.ownReads += 1;
    this.byReader.set(readerKey, {readerKey, readNumber: this.ownReads, readAtMs});
  }

  /**
   * Records a read that another gateway tells. One of an unknown reader, an old one, and one that is followed by a later
   * read of its reader are ignored.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  apply({readerKey, readNumber, ageMs}: RelayedRead, nowMs: number): void {
    const isValid = readerKey !== 0 && readNumber > 0 && ageMs >= 0 && ageMs <= MAX_AGE_MS;
    if (!isValid) return;
    const known = this.byReader.get(readerKey);
    if (known && readNumber < known.readNumber) return;
    const isSame = known?.readNumber === readNumber;
    const readAtMs = Math.min(nowMs - ageMs, isSame ? known.readAtMs : Infinity);
    this.byReader.set(readerKey, {readerKey, readNumber, readAtMs});
    this.forgetOld(nowMs);
  }

  /** Returns the monotonic time in milliseconds of the newest read; -Infinity if none is known. */
  getNewestAtMs(): number {
    return this.newest?.readAtMs ?? -Infinity;
  }

  /**
   * Returns the newest read for the other gateways.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getNewest(nowMs: number): RelayedRead {
    const {newest} = this;
    if (!newest) return NO_READ;
    const {readerKey, readNumber, readAtMs} = newest;
    return {readerKey, readNumber, ageMs: nowMs - readAtMs};
  }

  private get newest(): KnownRead | undefined {
    return [...this.byReader.values()].reduce<KnownRead | undefined>(
      (newest, read) => (newest && newest.readAtMs >= read.readAtMs ? newest : read),
      undefined,
    );
  }

  private forgetOld(nowMs: number): void {
    for (const [key, {readAtMs}] of this.byReader) {
      if (nowMs - readAtMs > RETENTION_MS) this.byReader.delete(key);
    }
  }
}
