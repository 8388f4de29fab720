/** Follows a stream of the log with a fold, and tells a writer of its records that were read back. */
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
  readonly getNowMs: () => number;
  readonly fold: SnapshotFold;
  /** Writer whose records are read back here. */
  readonly writer?: LogWriter;
  /** Called after the fold has applied a record, before the writer is told of it. */
  readonly onApplied?: (placed: PlacedRecord) => void;
  /** Called for a payload that is no record; every reader passes over it alike. */
  readonly onInvalidRecord?: (offset: number) => void;
  /** Called where records were dropped by retention before they were read. */
  readonly onGap?: (missedFrom: number, earliestOffset: number) => void;
  readonly longPollMs?: number;
  readonly retryDelayMs?: number;
  /** Waits for a time; the system's timer where absent. */
  readonly sleep?: Sleep;
}

/** Keeps a fold up to date with its stream. */
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

  /** Starts to follow the stream. */
  start(): void {
    this.tailer.start();
  }

  /** Stops, and waits until no callback runs any more. */
  async stop(): Promise<void> {
    await this.tailer.stop();
  }

  /** Returns the offset of the next record to read. */
  getNextOffset(): number {
    return this.tailer.getNextOffset();
  }

  /**
   * Goes on after records that the fold learnt from elsewhere.
   * @param nextOffset - Offset of the next record to read.
   */
  skipTo(nextOffset: number): void {
    this.tailer.skipTo(nextOffset);
  }

  /** Returns the instant at which a read last reached the end of the stream; undefined before. */
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
