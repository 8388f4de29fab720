/** The fleet stream as a daemon sees it: tails it into the fold, and proposes records and learns their verdicts. */
import {FleetFold, type FleetVerdict} from '../folds/index.js';
import {LogTailer, LogWriter, type LogAccess, type StoredRecord} from '../log/index.js';
import type {Logger} from '../logging/index.js';
import {decodeRecord, type LogBody, type PlacedRecord} from '../records/index.js';

/** Options of a `FleetStream`. */
export interface FleetStreamOptions {
  readonly log: LogAccess;
  /** Incarnation of this process. */
  readonly incarnation: string;
  readonly logger: Logger;
  readonly getNowMs: () => number;
  readonly proposalTimeoutMs: number;
  readonly longPollMs?: number;
}

/** Called after records were applied. */
export type FleetStreamListener = () => void;

/** How an own record ended. */
export interface ProposalOutcome {
  readonly verdict: FleetVerdict;
  readonly offset: number;
}

/** Which writer a record goes through; lease records never wait behind others. */
export type FleetWriterName = 'lease' | 'orders';

const RETRY_DELAY_MS = 100;

/** Keeps the fold of the fleet stream current. */
export class FleetStream {
  private readonly options: FleetStreamOptions;
  private readonly fold = new FleetFold();
  private readonly tailer: LogTailer;
  private readonly writers: Readonly<Record<FleetWriterName, LogWriter>>;
  private readonly ownVerdicts = new Map<string, FleetVerdict>();
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

  /** Starts reading. */
  start(): void {
    this.tailer.start();
  }

  /** Stops reading; open proposals time out. */
  async stop(): Promise<void> {
    await this.tailer.stop();
  }

  /** Returns the fold. */
  getFold(): FleetFold {
    return this.fold;
  }

  /** Returns the instant at which a read last reached the end of the stream; undefined before. */
  getCaughtUpAtMs(): number | undefined {
    return this.tailer.getCaughtUpAtMs();
  }

  /** Returns the offset of the next record to read. */
  getNextOffset(): number {
    return this.tailer.getNextOffset();
  }

  /**
   * Calls a listener after records were applied.
   * @param listener - What to call.
   */
  addListener(listener: FleetStreamListener): void {
    this.listeners.add(listener);
  }

  /**
   * Proposes a record and waits for its verdict.
   * @param writerName - Writer to use.
   * @param body - What the record says.
   * @throws ServingError of kind `log-unavailable` where it wasn't read back in time.
   */
  async propose(writerName: FleetWriterName, body: LogBody): Promise<ProposalOutcome> {
    const {offset, record} = await this.writers[writerName].propose(body);
    const key = `${record.writer} ${record.sequence}`;
    const verdict = this.ownVerdicts.get(key) ?? this.fold.getLastVerdict();
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
        'record of the fleet stream skipped',
      );
      return;
    }
    this.fold.applyRecord(placed);
    this.noteOwnVerdict(placed);
    for (const writer of Object.values(this.writers)) writer.observe(placed);
  }

  /** The first reading decides; a repeat of the same record says nothing new. */
  private noteOwnVerdict({record}: PlacedRecord): void {
    const {writer, sequence} = record;
    const verdict = this.fold.getLastVerdict();
    if (!writer.startsWith(`${this.options.incarnation}/`) || verdict.rejection === 'repeat')
      return;
    this.ownVerdicts.set(`${writer} ${sequence}`, verdict);
  }
}
