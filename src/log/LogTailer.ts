/** Follows a stream of the log and hands each record to a fold, in order, once. */
import type {LogAccess, LogSlice, StoredRecord} from './LogClient.js';
import type {LogStream} from '../records/index.js';
import {systemSleep, type Sleep} from './Sleep.js';

/** Options of a `LogTailer`. */
export interface LogTailerOptions {
  readonly stream: LogStream;
  readonly log: LogAccess;
  readonly getNowMs: () => number;
  /** Called with the records of each read, in order. */
  readonly onRecords: (records: readonly StoredRecord[]) => void;
  /** Called where records were dropped by retention before they were read. */
  readonly onGap?: (missedFrom: number, earliestOffset: number) => void;
  readonly longPollMs?: number;
  readonly retryDelayMs?: number;
  /** Waits for a time; the system's timer where absent. */
  readonly sleep?: Sleep;
}

/** Short, so that a connection that has gone silent under a poll is noticed within a few seconds. */
const DEFAULT_LONG_POLL_MS = 2_000;
const DEFAULT_RETRY_DELAY_MS = 250;
const MAX_RECORDS_PER_READ = 1_000;

/** Reads a stream until it is stopped. */
export class LogTailer {
  private readonly options: LogTailerOptions;
  private readonly stopping = new AbortController();
  private nextOffset = 0;
  private caughtUpAtMs: number | undefined;
  private loop: Promise<void> | undefined;

  constructor(options: LogTailerOptions) {
    this.options = options;
  }

  /** Starts reading from the earliest record that is kept. */
  start(): void {
    this.loop ??= this.run();
  }

  /** Stops reading and waits until no callback runs any more. */
  async stop(): Promise<void> {
    this.stopping.abort();
    await this.loop;
  }

  /** Returns the offset of the next record to read. */
  getNextOffset(): number {
    return this.nextOffset;
  }

  /**
   * Goes on after records that were learnt from elsewhere; never back.
   * @param nextOffset - Offset of the next record to read.
   */
  skipTo(nextOffset: number): void {
    this.nextOffset = Math.max(this.nextOffset, nextOffset);
  }

  /** Returns the instant at which a read last reached the end of the stream; undefined before. */
  getCaughtUpAtMs(): number | undefined {
    return this.caughtUpAtMs;
  }

  private async run(): Promise<void> {
    const {signal} = this.stopping;
    while (!signal.aborted) {
      try {
        await this.readOnce(signal);
      } catch {
        const {retryDelayMs = DEFAULT_RETRY_DELAY_MS, sleep = systemSleep} = this.options;
        await sleep(retryDelayMs, signal);
      }
    }
  }

  private async readOnce(signal: AbortSignal): Promise<void> {
    const {stream, log, getNowMs, longPollMs = DEFAULT_LONG_POLL_MS} = this.options;
    const askedAtMs = getNowMs();
    const waitMs = this.caughtUpAtMs === undefined ? 0 : longPollMs;
    const slice = await log.read(stream, {
      fromOffset: this.nextOffset,
      maxRecords: MAX_RECORDS_PER_READ,
      waitMs,
      signal,
    });
    if (signal.aborted) return;
    this.takeSlice(slice);
    if (slice.nextOffset < slice.endOffset) return;
    // An empty long poll proves the end as of its end, but a pause may lie between its end and this line.
    const provenAtMs = slice.records.length > 0 ? askedAtMs : askedAtMs + waitMs;
    this.caughtUpAtMs = Math.min(getNowMs(), provenAtMs);
  }

  /** Passes on what is new; the offset moves first, so that a callback that throws sees no record twice. */
  private takeSlice(slice: LogSlice): void {
    const {onRecords, onGap} = this.options;
    const expected = this.nextOffset;
    const records = slice.records.filter(({offset}) => offset >= expected);
    const firstKept = Math.max(slice.earliestOffset, records[0]?.offset ?? 0);
    this.nextOffset = Math.max(expected, slice.nextOffset);
    if (firstKept > expected) onGap?.(expected, firstKept);
    if (records.length > 0) onRecords(records);
  }
}
