/** Log of prefix cache changes, published with a delay and with simulated losses. */
import type {BlockHash, CacheChangeKind} from './PrefixCache.js';

/** An event as returned by `GET /cache/events`. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: CacheChangeKind;
  readonly blockHash: BlockHash;
}

/** Response of `GET /cache/events`; `nextSequence` is where the next read continues. */
export interface CacheEventPage {
  readonly events: readonly CacheEvent[];
  readonly nextSequence: number;
  readonly earliestSequence: number;
}

interface StoredEvent extends CacheEvent {
  readonly atMs: number;
  readonly isLost: boolean;
}

const MAX_STORED_EVENTS = 20_000;

/** Keeps the last `MAX_STORED_EVENTS` events; a lost event leaves a gap in the sequence numbers. */
export class CacheEventLog {
  private readonly events: StoredEvent[] = [];
  private nextSequence = 0;

  /** Adds an event; a lost one takes a sequence number but is never returned. */
  addEvent(kind: CacheChangeKind, blockHash: BlockHash, isLost: boolean, atMs: number): void {
    if (this.events.length >= MAX_STORED_EVENTS) this.events.shift();
    this.events.push({sequence: this.nextSequence++, kind, blockHash, isLost, atMs});
  }

  /**
   * Returns a page of events.
   * @param from - First sequence number.
   * @param max - Maximum number of events, including lost ones.
   * @param publishedBeforeMs - Latest Unix time in milliseconds at which a returned event was added.
   */
  getEvents(from: number, max: number, publishedBeforeMs: number): CacheEventPage {
    const earliestSequence = this.events[0]?.sequence ?? this.nextSequence;
    const start = Math.max(from - earliestSequence, 0);
    const visible = this.events
      .slice(start, start + max)
      .filter(({atMs}) => atMs <= publishedBeforeMs);
    const events = visible
      .filter(({isLost}) => !isLost)
      .map(({sequence, kind, blockHash}) => ({sequence, kind, blockHash}));
    const nextSequence = (visible.at(-1)?.sequence ?? Math.max(from, earliestSequence) - 1) + 1;
    return {events, nextSequence, earliestSequence};
  }
}
