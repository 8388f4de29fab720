/** A log in memory for tests of its readers and writers. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {LogAccess, LogReadOptions, LogSlice, StoredRecord} from '../../src/log/index.js';
import type {LogStream} from '../../src/records/index.js';
import {ServingError} from '../../src/errors/index.js';

const POLL_MS = 2;

/** Keeps streams in memory; can be put out of service. */
export class FakeLog implements LogAccess {
  private readonly streams = new Map<LogStream, StoredRecord[]>();
  private isOut = false;

  /** Puts the log out of service, or back. */
  setOut(isOut: boolean): void {
    this.isOut = isOut;
  }

  /** Returns the payloads of a stream. */
  getPayloads(stream: LogStream): readonly string[] {
    return this.getRecords(stream).map(({payload}) => payload);
  }

  async append(stream: LogStream, payloads: readonly string[]): Promise<number> {
    this.throwWhenOut();
    const records = this.getRecords(stream);
    const firstOffset = records.length;
    payloads.forEach((payload, index) =>
      records.push({offset: firstOffset + index, atMs: 0, payload}),
    );
    return firstOffset;
  }

  async read(stream: LogStream, options: LogReadOptions): Promise<LogSlice> {
    const {fromOffset, maxRecords, waitMs, signal} = options;
    const endAtMs = Date.now() + waitMs;
    const records = this.getRecords(stream);
    while (records.length <= fromOffset && Date.now() < endAtMs && !signal?.aborted) {
      await sleep(POLL_MS);
    }
    this.throwWhenOut();
    const slice = records.slice(fromOffset, fromOffset + maxRecords);
    return {
      records: slice,
      nextOffset: fromOffset + slice.length,
      earliestOffset: 0,
      endOffset: records.length,
    };
  }

  private getRecords(stream: LogStream): StoredRecord[] {
    const found = this.streams.get(stream) ?? [];
    this.streams.set(stream, found);
    return found;
  }

  private throwWhenOut(): void {
    if (this.isOut) throw new ServingError('log is out', {kind: 'log-unavailable'});
  }
}
