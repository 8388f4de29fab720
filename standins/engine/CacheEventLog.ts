/** Events about the prefix cache, published late and with gaps. */
import type {BlockHash, CacheChangeKind} from './PrefixCache.js';

/** An event as `GET /cache/events` gives it. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: CacheChangeKind;
  readonly blockHash: BlockHash;
}

/** Part of the events. */
export interface CacheEventSlice {
  readonly events: readonly CacheEvent[];
  readonly nextSequence: number;
  readonly earliestSequence: number;
}

interface KeptEvent extends CacheEvent {
  readonly atMs: number;
  readonly isLost: boolean;
}

const MAX_KEPT_EVENTS = 20_000;

/** Keeps the last events; a lost one leaves a gap in the sequence. */
export class CacheEventLog {
  private readonly events: KeptEvent[] = [];
  private nextSequence = 0;

  /** Adds an event. */
  addEvent(kind: CacheChangeKind, blockHash: BlockHash, isLost: boolean, atMs: number): void {
    if (this.events.length >= MAX_KEPT_EVENTS) this.events.shift();
    this.events.push({sequence: this.nextSequence++, kind, blockHash, isLost, atMs});
  }

  /** Returns the events that are published by an instant. */
  getEvents(from: number, max: number, publishedBeforeMs: number): CacheEventSlice {
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
