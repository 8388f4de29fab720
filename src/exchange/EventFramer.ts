/** Cuts a stream of server-sent events at whole events. */

/** A whole event, or several, with the id of the last one. */
export interface FramedEvents {
  readonly bytes: Buffer;
  /** Id of the last event in `bytes`; undefined where none has one. */
  readonly lastId: string | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(.*)$/m;

/** Collects bytes and returns whole events. */
export class EventFramer {
  private pending: Buffer = Buffer.alloc(0);

  /**
   * Takes bytes; returns the whole events among what has come, in order.
   * @param chunk - Bytes as they arrived.
   */
  add(chunk: Buffer): readonly FramedEvents[] {
    const bytes = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const events: FramedEvents[] = [];
    let start = 0;
    for (let end = findEventEnd(bytes, start); end > 0; end = findEventEnd(bytes, start)) {
      events.push(frame(bytes.subarray(start, end)));
      start = end;
    }
    this.pending = bytes.subarray(start);
    return events;
  }

  /** Returns what came after the last whole event. */
  getRest(): Buffer {
    return this.pending;
  }
}

/** Returns the index after the blank line that ends the next event; -1 where it hasn't come. */
function findEventEnd(bytes: Buffer, start: number): number {
  for (let at = bytes.indexOf(LINE_FEED, start); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    const next = bytes[at + 1] === CARRIAGE_RETURN ? at + 2 : at + 1;
    if (bytes[next] === LINE_FEED) return next + 1;
  }
  return -1;
}

function frame(bytes: Buffer): FramedEvents {
  return {bytes, lastId: ID_LINE.exec(bytes.toString('latin1'))?.[1].trim()};
}
