/** Reads a stream of the log continuously and passes each record on in order, exactly once. */
import type {LogAccess, LogSlice, StoredRecord} from './LogClient.js';
import type {LogStream} from '../records/index.js';
import {systemSleep, type Sleep} from './Sleep.js';

/** Options of a `LogTailer`. */
export interface LogTailerOptions {
  readonly stream: LogStream;
  readonly log: LogAccess;
  /** Returns the current time in milliseconds, by the clock that `getCaughtUpAtMs` refers to. */
  readonly getNowMs: () => number;
  /** Called with the new records of each read, in order; never with an empty list. */
  readonly onRecords: (records: readonly StoredRecord[]) => void;
  /** Called if retention dropped the records from `missedFrom` up to, not including, `earliestOffset` unread. */
  readonly onGap?: (missedFrom: number, earliestOffset: number) => void;
  /** How long a read at the end of the stream waits for a record; 2 s if undefined. */
  readonly longPollMs?: number;
  /** Pause after a failed read; 250 ms if undefined. */
  readonly retryDelayMs?: number;
  /** Replaces the system timer in tests. */
  readonly sleep?: Sleep;
}

/** Short, so that a connection that stalls during a poll is detected within a few seconds. */
const DEFAULT_LONG_POLL_MS = 2_000;
const DEFAULT_RETRY_DELAY_MS = 250;
const MAX_RECORDS_PER_READ = 1_000;

/** Reads a stream in a loop of long polls until stopped, and retries failed reads. */
export class LogTailer {
  private readonly options: LogTailerOptions;
  private readonly stopping = new AbortController();
  private nextOffset = 0;
  private caughtUpAtMs: number | undefined;
  private loop: Promise<void> | undefined;

  constructor(options: LogTailerOptions) {
    this.options = options;
  }

  /** Starts reading, from the earliest retained record unless `skipTo` was called. */
  start(): void {
    this.loop ??= this.run();
  }

  /** Stops reading; once it resolves, no callback is called any more. */
  async stop(): Promise<void> {
    this.stopping.abort();
    await this.loop;
  }

  /** Returns the offset of the next record to read. */
  getNextOffset(): number {
    return this.nextOffset;
  }

  /**
   * Skips records whose effect is already known from another source. Never moves back.
   * @param nextOffset - Offset of the next record to read.
   */
  skipTo(nextOffset: number): void {
    this.nextOffset = Math.max(this.nextOffset, nextOffset);
  }

  /**
   * Returns the latest time, by `getNowMs`, at which every record of the stream is known to have been read; undefined
   * before a read first reached the end.
   */
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
    const requestedAtMs = getNowMs();
    const waitMs = this.caughtUpAtMs === undefined ? 0 : longPollMs;
    const slice = await log.read(stream, {
      fromOffset: this.nextOffset,
      maxRecords: MAX_RECORDS_PER_READ,
      waitMs,
      signal,
    });
    if (signal.aborted) return;
    this.deliverSlice(slice);
    if (slice.nextOffset < slice.endOffset) return;
    // The log answers an empty long poll after `waitMs`, so the stream ended here at least until then. The process may
    // have been paused between the response and this line, so the current time is only an upper bound.
    const endSeenAtMs = slice.records.length > 0 ? requestedAtMs : requestedAtMs + waitMs;
    this.caughtUpAtMs = Math.min(getNowMs(), endSeenAtMs);
  }

  /** Passes on new records. The offset advances first, so that a callback that throws doesn't get them again. */
  private deliverSlice(slice: LogSlice): void {
    const {onRecords, onGap} = this.options;
    const expectedOffset = this.nextOffset;
    const records = slice.records.filter(({offset}) => offset >= expectedOffset);
    const firstAvailableOffset = Math.max(slice.earliestOffset, records[0]?.offset ?? 0);
    this.nextOffset = Math.max(expectedOffset, slice.nextOffset);
    if (firstAvailableOffset > expectedOffset) onGap?.(expectedOffset, firstAvailableOffset);
    if (records.length > 0) onRecords(records);
  }
}
