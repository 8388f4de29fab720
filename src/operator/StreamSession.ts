/** Client-side access to one stream of the log: follows it with a fold, and appends records. */
import {setTimeout as sleep} from 'node:timers/promises';
import {ServingError} from '../errors/index.js';
import type {Fold} from '../folds/index.js';
import {LogTailer, LogWriter, type LogAccess, type StoredRecord} from '../log/index.js';
import {decodeRecord, type LogBody, type LogStream, type PlacedRecord} from '../records/index.js';

/** Options that are the same for each stream of the log. */
export interface SessionOptions {
  readonly log: LogAccess;
  /** Writer id of this process; unique among all processes that ever write to the log. */
  readonly writer: string;
  /** Returns Unix time in milliseconds. */
  readonly getNowMs: () => number;
  /** Time limit of reading the whole stream in `open`, and of each append. */
  readonly timeoutMs: number;
}

/** Options of a `StreamSession`. */
export interface StreamSessionOptions<Result> extends SessionOptions {
  readonly stream: LogStream;
  /** Computes the state of the stream; owned by the caller. */
  readonly fold: Fold;
  /** Returns the fold's result for the record applied last; undefined if it has none. */
  readonly getLastResult: () => Result | undefined;
  /** Called if retention dropped records before they were read. */
  readonly onGap: () => void;
  /** Called after the fold has applied a record; `atMs` is the Unix time in milliseconds at which the log stored it. */
  readonly onApplied?: (placed: PlacedRecord, atMs: number, result: Result | undefined) => void;
}

/** Offset of an appended record and the fold's result for it. */
export interface ProposalResult<Result> {
  readonly offset: number;
  readonly result: Result;
}

/** How often `open` checks whether the stream has been read to its end. */
const POLL_MS = 10;

/**
 * Passes the records of a stream to a fold from `open` to `close`. Appends one record at a time; concurrent calls of
 * `propose` queue.
 */
export class StreamSession<Result> {
  private readonly options: StreamSessionOptions<Result>;
  private readonly tailer: LogTailer;
  private readonly writer: LogWriter;
  /**
   * Results for this process's records by offset. If an append was retried and the log stores the record twice, the
   * duplicate has an entry too, which is never read.
   */
  private readonly ownResults = new Map<number, Result>();

  constructor(options: StreamSessionOptions<Result>) {
    const {stream, log, writer, getNowMs, timeoutMs, onGap} = options;
    this.options = options;
    this.writer = new LogWriter({stream, log, writer, timeoutMs});
    this.tailer = new LogTailer({
      stream,
      log,
      getNowMs,
      onGap,
      onRecords: records => records.forEach(record => this.applyStoredRecord(record)),
    });
  }

  /**
   * Starts to follow the stream and waits until all of its records have been read; stops following if that fails.
   * @throws ServingError of kind `log-unavailable` if the log does not respond within `timeoutMs`.
   */
  async open(): Promise<void> {
    const {getNowMs, timeoutMs} = this.options;
    const timeoutAtMs = getNowMs() + timeoutMs;
    this.tailer.start();
    while (this.tailer.getCaughtUpAtMs() === undefined) {
      if (getNowMs() >= timeoutAtMs) {
        await this.close();
        throw new ServingError(`the log did not respond within ${timeoutMs} ms`, {
          kind: 'log-unavailable',
        });
      }
      await sleep(POLL_MS);
    }
  }

  /** Stops following the stream. */
  async close(): Promise<void> {
    await this.tailer.stop();
  }

  /**
   * Appends a record, waits until it has been read back, and returns the fold's result for it. Every reader of the log
   * computes the same result.
   * @throws ServingError of kind `log-unavailable` if the record was not read back in time; it may still be in the log
   *     and accepted.
   */
  async propose(body: LogBody): Promise<ProposalResult<Result>> {
    const {offset} = await this.writer.propose(body);
    const result = this.ownResults.get(offset);
    if (result === undefined) {
      throw new ServingError(`the fold has no result for the record at offset ${offset}`, {
        kind: 'internal',
      });
    }
    return {offset, result};
  }

  private applyStoredRecord({offset, atMs, payload}: StoredRecord): void {
    const {fold, getLastResult, onApplied, writer} = this.options;
    const record = decodeRecordOrSkip(payload);
    if (!record) return;
    const placed = {offset, record, atMs};
    fold.applyRecord(placed);
    const result = getLastResult();
    if (record.writer === writer && result !== undefined) this.ownResults.set(offset, result);
    onApplied?.(placed, atMs, result);
    this.writer.observe(placed);
  }
}

/** Returns undefined if a payload can't be decoded. Every reader skips such records, so their states stay equal. */
function decodeRecordOrSkip(payload: string): ReturnType<typeof decodeRecord> | undefined {
  try {
    return decodeRecord(payload);
  } catch {
    return undefined;
  }
}
