/** In-memory log service with injectable append faults and outages, in virtual or real time. */
import type {
  LogAccess,
  LogReadOptions,
  LogSlice,
  Sleep,
  StoredRecord,
} from '../../src/log/index.js';
import type {LogStream} from '../../src/records/index.js';

/** Delays and faults of one append. */
export interface AppendBehavior {
  /** Time in milliseconds until the append takes effect. */
  readonly delayMs: number;
  /** Time in milliseconds from taking effect until the response. */
  readonly answerDelayMs: number;
  /** Whether the append fails without taking effect. */
  readonly isLost: boolean;
  /** Whether the append takes effect but the caller gets an error. */
  readonly isAnswerLost: boolean;
}

/** Options of a `FakeLog`. */
export interface FakeLogOptions {
  readonly getNowMs: () => number;
  readonly sleep: Sleep;
  /** Chooses delays and faults of the next append; undefined for 2 ms each way and no faults. */
  readonly chooseAppendBehavior?: () => AppendBehavior;
  /** Latency of a read in milliseconds; 1 if undefined. */
  readonly readDelayMs?: number;
}

const FAULTLESS_APPEND: AppendBehavior = {
  delayMs: 2,
  answerDelayMs: 2,
  isLost: false,
  isAnswerLost: false,
};
const POLL_MS = 1;

/** Implements `LogAccess` over arrays; long polls wake on appends and on changes of the outage. */
export class FakeLog implements LogAccess {
  private readonly options: FakeLogOptions;
  private readonly streams = new Map<LogStream, StoredRecord[]>();
  private readonly earliestOffsets = new Map<LogStream, number>();
  private hasOutage = false;
  private appendCount = 0;
  private attemptedAppendCount = 0;
  private wakeCallbacks = new Set<() => void>();

  constructor(options: FakeLogOptions) {
    this.options = options;
  }

  /** Starts or ends an outage; during it, every append and read fails. */
  setOutage(isOut: boolean): void {
    this.hasOutage = isOut;
    this.wakeReaders();
  }

  /** Hides records below an offset from readers, as retention does. */
  dropBefore(stream: LogStream, offset: number): void {
    this.earliestOffsets.set(stream, offset);
  }

  /** Returns all records that ever took effect, including those below the earliest offset. */
  getRecords(stream: LogStream): readonly StoredRecord[] {
    return this.getStream(stream);
  }

  /** Returns the number of appends that took effect. */
  getAppendCount(): number {
    return this.appendCount;
  }

  /** Returns the number of appends attempted, including those that failed. */
  getAttemptedAppendCount(): number {
    return this.attemptedAppendCount;
  }

  async append(stream: LogStream, payloads: readonly string[]): Promise<number> {
    const {sleep, getNowMs, chooseAppendBehavior} = this.options;
    const {delayMs, answerDelayMs, isLost, isAnswerLost} =
      chooseAppendBehavior?.() ?? FAULTLESS_APPEND;
    this.attemptedAppendCount += 1;
    await sleep(delayMs);
    if (this.hasOutage || isLost) throw new Error('append failed');
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
    if (this.hasOutage) throw new Error('read failed');
    if (this.getStream(stream).length <= fromOffset) await this.waitForRecord(waitMs, signal);
    if (this.hasOutage || signal?.aborted) throw new Error('read failed');
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
    this.wakeCallbacks.add(wake);
    signal?.addEventListener('abort', wake);
    await this.options.sleep(waitMs, arrival.signal);
    signal?.removeEventListener('abort', wake);
    this.wakeCallbacks.delete(wake);
  }

  private wakeReaders(): void {
    for (const wake of [...this.wakeCallbacks]) wake();
  }

  private getStream(stream: LogStream): StoredRecord[] {
    const records = this.streams.get(stream) ?? [];
    this.streams.set(stream, records);
    return records;
  }
}
