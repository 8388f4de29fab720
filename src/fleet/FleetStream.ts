/** Replicates the fleet stream into a fold, proposes records, and returns whether the fold accepted them. */
import {FleetFold, type FleetRecordResult} from '../folds/index.js';
import {LogTailer, LogWriter, type LogAccess, type StoredRecord} from '../log/index.js';
import type {Logger} from '../logging/index.js';
import {decodeRecord, type LogBody, type PlacedRecord} from '../records/index.js';

/** Options of a `FleetStream`, which replicates the fleet stream. */
export interface FleetStreamOptions {
  readonly log: LogAccess;
  /** Unique id of this process run; prefix of its writer ids. */
  readonly incarnation: string;
  readonly logger: Logger;
  /** Returns the monotonic time in milliseconds. */
  readonly getNowMs: () => number;
  /** Time within which an appended record must be read back. */
  readonly proposalTimeoutMs: number;
  /** Duration of a long poll of the log; undefined for the default of `LogTailer`. */
  readonly longPollMs?: number;
}

/** Called after each batch of records was applied to the fold. */
export type FleetStreamListener = () => void;

/** Result of a record that this daemon proposed. */
export interface ProposalOutcome {
  readonly verdict: FleetRecordResult;
  readonly offset: number;
}

/** Writer of a record. Lease records have a writer of their own, so that they never queue behind orders. */
export type FleetWriterName = 'lease' | 'orders';

const RETRY_DELAY_MS = 100;

/** Keeps the fold of the fleet stream up to date. */
export class FleetStream {
  private readonly options: FleetStreamOptions;
  private readonly fold = new FleetFold();
  private readonly tailer: LogTailer;
  private readonly writers: Readonly<Record<FleetWriterName, LogWriter>>;
  private readonly ownVerdicts = new Map<string, FleetRecordResult>();
  private readonly listeners = new Set<FleetStreamListener>();

  constructor(options: FleetStreamOptions) {
    this.options = options;
    this.writers = {lease: this.createWriter('lease'), orders: this.createWriter('orders')};
    this.tailer = new LogTailer({
      stream: 'fleet',
      log: options.log,
      getNowMs: options.getNowMs,
      longPollMs: options.longPollMs,
      retryDelayMs: RETRY_DELAY_MS,
      onRecords: records => this.applyRecords(records),
      onGap: () => this.fold.markIncomplete(),
    });
  }

  /** Starts tailing the stream. */
  start(): void {
    this.tailer.start();
  }

  /** Stops tailing the stream; pending proposals time out. */
  async stop(): Promise<void> {
    await this.tailer.stop();
  }

  /** Returns the fold, which changes as records arrive. */
  getFold(): FleetFold {
    return this.fold;
  }

  /** Returns the monotonic time of the last read that reached the end of the stream; undefined if none did. */
  getCaughtUpAtMs(): number | undefined {
    return this.tailer.getCaughtUpAtMs();
  }

  /** Returns the offset of the next record to read. */
  getNextOffset(): number {
    return this.tailer.getNextOffset();
  }

  /** Adds a listener that is called after each batch of applied records. */
  addListener(listener: FleetStreamListener): void {
    this.listeners.add(listener);
  }

  /**
   * Appends a record and waits until it is read back; returns whether the fold accepted it, and its offset.
   * @param writerName - The writer whose queue the record joins.
   * @param body - Contents of the record.
   * @throws ServingError of kind `log-unavailable` if the record wasn't read back within `proposalTimeoutMs`.
   */
  async propose(writerName: FleetWriterName, body: LogBody): Promise<ProposalOutcome> {
    const {offset, record} = await this.writers[writerName].propose(body);
    const key = `${record.writer} ${record.sequence}`;
    const verdict = this.ownVerdicts.get(key) ?? this.fold.getLastResult();
    this.ownVerdicts.delete(key);
    return {verdict, offset};
  }

  private createWriter(name: FleetWriterName): LogWriter {
    const {log, incarnation, proposalTimeoutMs: timeoutMs} = this.options;
    return new LogWriter({stream: 'fleet', log, writer: `${incarnation}/${name}`, timeoutMs});
  }

  private applyRecords(records: readonly StoredRecord[]): void {
    for (const stored of records) this.applyRecord(stored);
    for (const listener of this.listeners) listener();
  }

  private applyRecord({offset, payload}: StoredRecord): void {
    let placed: PlacedRecord;
    try {
      placed = {offset, record: decodeRecord(payload)};
    } catch (error) {
      this.options.logger.warn(
        {offset, error: String(error)},
        'skipped an invalid record of the fleet stream',
      );
      return;
    }
    this.fold.applyRecord(placed);
    this.recordOwnVerdict(placed);
    for (const writer of Object.values(this.writers)) writer.observe(placed);
  }

  /** Keeps the result of the first copy of a record; a repeated append of the same record doesn't replace it. */
  private recordOwnVerdict({record}: PlacedRecord): void {
    const {writer, sequence} = record;
    const verdict = this.fold.getLastResult();
    if (!writer.startsWith(`${this.options.incarnation}/`) || verdict.rejection === 'repeat')
      return;
    this.ownVerdicts.set(`${writer} ${sequence}`, verdict);
  }
}
