/** Splits a byte stream of server-sent events at event boundaries. */
import {ByteBuffer} from '../utils/index.js';

/** The bytes of one complete event. */
export interface FramedEvent {
  /** Unchanged bytes of the event, with the blank line at its end. */
  readonly bytes: Buffer;
  /** The event's id; undefined if it has none. */
  readonly eventId: string | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(.*)$/m;
/** Length of the shortest event with an id line. */
const MIN_IDENTIFIED_BYTES = 'id:\n\n'.length;
/** The last line end and the first byte of a blank line may come in one chunk, and the rest of it in the next. */
const MAX_BOUNDARY_BYTES = '\n\r\n'.length;

/** Buffers the bytes of an incomplete event until the rest of it arrives. */
export class EventFramer {
  private readonly pending = new ByteBuffer();
  /** Leading bytes of the incomplete event in which no event ends. */
  private scannedBytes = 0;
  private hasEvents = false;

  /** Appends received bytes and returns the events that they complete, in order. */
  add(chunk: Buffer): readonly FramedEvent[] {
    this.pending.append(chunk);
    const bytes = this.pending.getBytes();
    const events: FramedEvent[] = [];
    let start = 0;
    let end = findEventEnd(bytes, Math.max(0, this.scannedBytes - MAX_BOUNDARY_BYTES));
    while (end > 0) {
      events.push(frame(bytes.subarray(start, end)));
      start = end;
      end = findEventEnd(bytes, start);
    }
    this.pending.removeFirst(start);
    this.scannedBytes = this.pending.length;
    this.hasEvents ||= events.length > 0;
    return events;
  }

  /** Whether there was an event, and nothing but line ends has been received after the last one. */
  get isAtEventEnd(): boolean {
    return this.hasEvents && this.pending.getBytes().every(isLineEnd);
  }

  /** Memory that the incomplete event takes, in bytes. */
  get bufferedBytes(): number {
    return this.pending.capacityBytes;
  }

  /** Returns the bytes after the last complete event. */
  getIncompleteEvent(): Buffer {
    return this.pending.getBytes();
  }
}

function isLineEnd(byte: number): boolean {
  return byte === LINE_FEED || byte === CARRIAGE_RETURN;
}

/** Returns the index after the blank line that ends the next event; -1 if it hasn't been received. */
function findEventEnd(bytes: Buffer, start: number): number {
  for (
    let lineEnd = bytes.indexOf(LINE_FEED, start);
    lineEnd >= 0;
    lineEnd = bytes.indexOf(LINE_FEED, lineEnd + 1)
  ) {
    const next = bytes[lineEnd + 1] === CARRIAGE_RETURN ? lineEnd + 2 : lineEnd + 1;
    if (bytes[next] === LINE_FEED) return next + 1;
  }
  return -1;
}

function frame(bytes: Buffer): FramedEvent {
  if (bytes.length < MIN_IDENTIFIED_BYTES) return {bytes, eventId: undefined};
  return {bytes, eventId: ID_LINE.exec(bytes.toString('latin1'))?.[1].trim()};
}
