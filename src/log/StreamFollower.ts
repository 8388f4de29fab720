/** Reads a stream of the log into a fold, and confirms the records of a writer as they are read back. */
import type {SnapshotFold} from '../folds/index.js';
import {decodeRecord, type LogStream, type PlacedRecord} from '../records/index.js';
import type {LogAccess, StoredRecord} from './LogClient.js';
import {LogTailer} from './LogTailer.js';
import type {LogWriter} from './LogWriter.js';
import type {Sleep} from './Sleep.js';

/** Options of a `StreamFollower`. */
export interface StreamFollowerOptions {
  readonly stream: LogStream;
  readonly log: LogAccess;
  /** Returns the current time in milliseconds, by the clock that `getCaughtUpAtMs` refers to. */
  readonly getNowMs: () => number;
  readonly fold: SnapshotFold;
  /** Writer to the same stream, which is notified of each record after the fold. */
  readonly writer?: LogWriter;
  /** Called after the fold has applied a record and before the writer is notified of it. */
  readonly onApplied?: (placed: PlacedRecord) => void;
  /** Called for a payload that isn't a valid record; every reader skips it. */
  readonly onInvalidRecord?: (offset: number) => void;
  /** Called if retention dropped the records from `missedFrom` up to, not including, `earliestOffset` unread. */
  readonly onGap?: (missedFrom: number, earliestOffset: number) => void;
  /** How long a read at the end of the stream waits for a record; see `LogTailerOptions`. */
  readonly longPollMs?: number;
  /** Pause after a failed read; see `LogTailerOptions`. */
  readonly retryDelayMs?: number;
  /** Replaces the system timer in tests. */

  readonly sleep?: Sleep;
}

/** Keeps a fold up to date with its stream, and marks it incomplete after a gap. */
export class StreamFollower {
  private readonly options: StreamFollowerOptions;
  private readonly tailer: LogTailer;

  constructor(options: StreamFollowerOptions) {
    this.options = options;
    const {stream, log, getNowMs, longPollMs, retryDelayMs, sleep} = options;
    this.tailer = new LogTailer({
      stream,
      log,
      getNowMs,
      longPollMs,
      retryDelayMs,
      sleep,
      onRecords: records => records.forEach(stored => this.applyStored(stored)),
      onGap: (missedFrom, earliestOffset) => {
        options.fold.markIncomplete(earliestOffset);
        options.onGap?.(missedFrom, earliestOffset);
      },
    });
  }

  /** Starts reading the stream. */
  start(): void {
    this.tailer.start();
  }

  /** Stops reading; once it resolves, no callback is called any more. */
  async stop(): Promise<void> {
    await this.tailer.stop();
  }

  /** Returns the offset of the next record to read. */
  getNextOffset(): number {
    return this.tailer.getNextOffset();
  }

  /**
   * Skips records whose effect the fold has from another source. Never moves back.
   * @param nextOffset - Offset of the next record to read.
   */
  skipTo(nextOffset: number): void {
    this.tailer.skipTo(nextOffset);
  }

  /**
   * Returns the latest time, by `getNowMs`, at which every record of the stream is known to have been read; undefined
   * before a read first reached the end.
   */
  getCaughtUpAtMs(): number | undefined {
    return this.tailer.getCaughtUpAtMs();
  }

  private applyStored({offset, atMs, payload}: StoredRecord): void {
    const {fold, writer, onApplied, onInvalidRecord} = this.options;
    let placed: PlacedRecord;
    try {
      placed = {offset, atMs, record: decodeRecord(payload)};
    } catch {
      onInvalidRecord?.(offset);
      return;
    }
    fold.applyRecord(placed);
    onApplied?.(placed);
    writer?.observe(placed);
  }
}
