/** A log in memory whose faults a test chooses, in virtual or real time. */
import type {
  LogAccess,
  LogReadOptions,
  LogSlice,
  Sleep,
  StoredRecord,
} from '../../src/log/index.js';
import type {LogStream} from '../../src/records/index.js';

/** What befalls one append. */
export interface AppendFate {
  /** Time until the append takes effect. */
  readonly delayMs: number;
  /** Time from the effect to the answer. */
  readonly answerDelayMs: number;
  readonly isLost: boolean;
  readonly isAnswerLost: boolean;
}

/** Options of a `FakeLog`. */
export interface FakeLogOptions {
  readonly getNowMs: () => number;
  readonly sleep: Sleep;
  /** Chooses what befalls the next append. */
  readonly chooseFate?: () => AppendFate;
  readonly readDelayMs?: number;
}

const KIND_FATE: AppendFate = {delayMs: 2, answerDelayMs: 2, isLost: false, isAnswerLost: false};
const POLL_MS = 1;

/** Log service in memory. */
export class FakeLog implements LogAccess {
  private readonly options: FakeLogOptions;
  private readonly streams = new Map<LogStream, StoredRecord[]>();
  private readonly earliestOffsets = new Map<LogStream, number>();
  private isOut = false;
  private appendCount = 0;
  private triedAppendCount = 0;
  private waiting = new Set<() => void>();

  constructor(options: FakeLogOptions) {
    this.options = options;
  }

  /** Starts or ends an outage. */
  setOut(isOut: boolean): void {
    this.isOut = isOut;
    this.wakeReaders();
  }

  /** Drops records below an offset, as retention does. */
  dropBefore(stream: LogStream, offset: number): void {
    this.earliestOffsets.set(stream, offset);
  }

  /** Returns all records that ever took effect. */
  getRecords(stream: LogStream): readonly StoredRecord[] {
    return this.getStream(stream);
  }

  /** Returns the number of appends that took effect. */
  getAppendCount(): number {
    return this.appendCount;
  }

  /** Returns the number of appends that were asked for. */
  getTriedAppendCount(): number {
    return this.triedAppendCount;
  }

  async append(stream: LogStream, payloads: readonly string[]): Promise<number> {
    const {sleep, getNowMs, chooseFate} = this.options;
    const {delayMs, answerDelayMs, isLost, isAnswerLost} = chooseFate?.() ?? KIND_FATE;
    this.triedAppendCount += 1;
    await sleep(delayMs);
    if (this.isOut || isLost) throw new Error('append failed');
    const records = this.getStream(stream);
    const firstOffset = records.length;
    const atMs = getNowMs();
    payloads.forEach((payload, index) => {
      records.push({offset: firstOffset + index, atMs, payload});
    });
    this.appendCount += 1;
    this.wakeReaders();
    await sleep(answerDelayMs);
    if (isAnswerLost) throw new Error('answer lost');
    return firstOffset;
  }

  async read(stream: LogStream, options: LogReadOptions): Promise<LogSlice> {
    const {fromOffset, maxRecords, waitMs, signal} = options;
    await this.options.sleep(this.options.readDelayMs ?? POLL_MS, signal);
    if (this.isOut) throw new Error('read failed');
    if (this.getStream(stream).length <= fromOffset) await this.waitForRecord(waitMs, signal);
    if (this.isOut || signal?.aborted) throw new Error('read failed');
    const records = this.getStream(stream);
    const earliestOffset = this.earliestOffsets.get(stream) ?? 0;
    const start = Math.max(fromOffset, earliestOffset);
    const slice = records.slice(start, start + maxRecords);
    const nextOffset = start + slice.length;
    return {records: slice, nextOffset, earliestOffset, endOffset: records.length};
  }

  private async waitForRecord(waitMs: number, signal: AbortSignal | undefined): Promise<void> {
    if (waitMs === 0 || signal?.aborted) return;
    const arrival = new AbortController();
    const wake = () => arrival.abort();
    this.waiting.add(wake);
    signal?.addEventListener('abort', wake);
    await this.options.sleep(waitMs, arrival.signal);
    signal?.removeEventListener('abort', wake);
    this.waiting.delete(wake);
  }

  private wakeReaders(): void {
    for (const wake of [...this.waiting]) wake();
  }

  private getStream(stream: LogStream): StoredRecord[] {
    const records = this.streams.get(stream) ?? [];
    this.streams.set(stream, records);
    return records;
  }
}
