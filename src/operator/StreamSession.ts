/** A stream of the log as an operator's client uses it: read to its end, written with the verdict read back. */
import {setTimeout as sleep} from 'node:timers/promises';
import {ServingError} from '../errors/index.js';
import type {Fold} from '../folds/index.js';
import {LogTailer, LogWriter, type LogAccess, type StoredRecord} from '../log/index.js';
import {decodeRecord, type LogBody, type LogStream, type PlacedRecord} from '../records/index.js';

/** How a session reaches the log. */
export interface SessionOptions {
  readonly log: LogAccess;
  /** Incarnation of this process in the log. */
  readonly writer: string;
  readonly getNowMs: () => number;
  /** Longest wait for the log, for a read as for an append. */
  readonly timeoutMs: number;
}

/** What a session follows. */
export interface StreamSessionOptions<Verdict> extends SessionOptions {
  readonly stream: LogStream;
  readonly fold: Fold;
  /** Returns the fold's verdict on the record applied last. */
  readonly getVerdict: () => Verdict | undefined;
  /** Called where retention dropped records before they were read. */
  readonly onGap: () => void;
  /** Called after each record. */
  readonly onApplied?: (placed: PlacedRecord, atMs: number, verdict: Verdict | undefined) => void;
}

/** A record with what became of it. */
export interface JudgedRecord<Verdict> {
  readonly offset: number;
  readonly verdict: Verdict;
}

const POLL_MS = 10;

/** Keeps a fold up to date and proposes records, one at a time. */
export class StreamSession<Verdict> {
  private readonly options: StreamSessionOptions<Verdict>;
  private readonly tailer: LogTailer;
  private readonly writer: LogWriter;
  /** Verdicts on this process's records by offset; a repeated append has one of its own, which is never asked for. */
  private readonly ownVerdicts = new Map<number, Verdict>();

  constructor(options: StreamSessionOptions<Verdict>) {
    const {stream, log, writer, getNowMs, timeoutMs, onGap} = options;
    this.options = options;
    this.writer = new LogWriter({stream, log, writer, timeoutMs});
    this.tailer = new LogTailer({
      stream,
      log,
      getNowMs,
      onGap,
      onRecords: records => records.forEach(record => this.applyStored(record)),
    });
  }

  /**
   * Reads to the end of the stream; ends the reading itself where that fails.
   * @throws ServingError of kind `log-unavailable` where the log gives no answer in time.
   */
  async open(): Promise<void> {
    const {getNowMs, timeoutMs} = this.options;
    const giveUpAtMs = getNowMs() + timeoutMs;
    this.tailer.start();
    while (this.tailer.getCaughtUpAtMs() === undefined) {
      if (getNowMs() >= giveUpAtMs) {
        await this.close();
        throw new ServingError(`the log gave no answer within ${timeoutMs} ms`, {
          kind: 'log-unavailable',
        });
      }
      await sleep(POLL_MS);
    }
  }

  /** Ends the reading. */
  async close(): Promise<void> {
    await this.tailer.stop();
  }

  /**
   * Proposes a record and returns the verdict, which every reader of the log computes alike.
   * @param body - What the record says.
   * @throws ServingError of kind `log-unavailable` where it was not read back; it may stand all the same.
   */
  async propose(body: LogBody): Promise<JudgedRecord<Verdict>> {
    const {offset} = await this.writer.propose(body);
    const verdict = this.ownVerdicts.get(offset);
    if (verdict === undefined) {
      throw new ServingError(`no verdict at offset ${offset}`, {kind: 'internal'});
    }
    return {offset, verdict};
  }

  private applyStored({offset, atMs, payload}: StoredRecord): void {
    const {fold, getVerdict, onApplied, writer} = this.options;
    const record = tryDecode(payload);
    if (!record) return;
    const placed = {offset, record, atMs};
    fold.applyRecord(placed);
    const verdict = getVerdict();
    if (record.writer === writer && verdict !== undefined) this.ownVerdicts.set(offset, verdict);
    onApplied?.(placed, atMs, verdict);
    this.writer.observe(placed);
  }
}

/** A record that can't be read is passed over by every reader alike. */
function tryDecode(payload: string): ReturnType<typeof decodeRecord> | undefined {
  try {
    return decodeRecord(payload);
  } catch {
    return undefined;
  }
}
