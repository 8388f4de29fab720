/** Follows a stream of the log and hands each record to a fold, in order, once. */
import type {LogAccess, StoredRecord} from './LogClient.js';
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

const DEFAULT_LONG_POLL_MS = 10_000;
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
    const {stream, log, getNowMs, onRecords, onGap, longPollMs} = this.options;
    const askedAtMs = getNowMs();
    const slice = await log.read(stream, {
      fromOffset: this.nextOffset,
      maxRecords: MAX_RECORDS_PER_READ,
      waitMs: this.caughtUpAtMs === undefined ? 0 : (longPollMs ?? DEFAULT_LONG_POLL_MS),
      signal,
    });
    if (slice.earliestOffset > this.nextOffset) onGap?.(this.nextOffset, slice.earliestOffset);
    if (slice.records.length > 0) onRecords(slice.records);
    this.nextOffset = slice.nextOffset;
    // A long poll that ends without records proves the end as of its end, not only of its start.
    if (slice.nextOffset >= slice.endOffset) {
      this.caughtUpAtMs = slice.records.length > 0 ? askedAtMs : getNowMs();
    }
  }
}
