/** Publishes a fold's state again before the log drops the records that it came from. */
import type {SnapshotFold} from '../folds/index.js';
import type {LogBody, PlacedRecord} from '../records/index.js';
import {systemSleep, type Sleep} from './Sleep.js';
import type {LogWriter} from './LogWriter.js';

/** Options of a `SnapshotPublisher`. */
export interface SnapshotPublisherOptions {
  readonly fold: SnapshotFold;
  readonly writer: LogWriter;
  /** Longest time without a whole snapshot in the stream; well below the log's retention. */
  readonly intervalMs: number;
  readonly getNowMs: () => number;
  /** Returns a number from 0 up to 1; spreads the publishers of a deployment. */
  readonly random: () => number;
  /** Returns the offset of the next record to read. */
  readonly getNextOffset: () => number;
  /** Returns whether the reader stands at the end of the stream. */
  readonly isCaughtUp: () => boolean;
  readonly sleep?: Sleep;
}

/** Part of the interval after which a publisher whose snapshot didn't hold tries again. */
const RETRY_SHARE = 0.05;
/** Part of the interval over which the publishers of a deployment spread. */
const SPREAD_SHARE = 0.5;

/**
 * Every entry may publish. Each waits for an interval and a random part more since the last snapshot that it read, so
 * that as a rule one publishes and the others see it in time.
 */
export class SnapshotPublisher {
  private readonly options: SnapshotPublisherOptions;
  private readonly stopping = new AbortController();
  private lastSnapshotReadAtMs: number;
  private loop: Promise<void> | undefined;

  constructor(options: SnapshotPublisherOptions) {
    this.options = options;
    this.lastSnapshotReadAtMs = options.getNowMs();
  }

  /** Starts to watch the stream. */
  start(): void {
    this.loop ??= this.run();
  }

  /** Stops without publishing. */
  async stop(): Promise<void> {
    this.stopping.abort();
    await this.loop;
  }

  /**
   * Notes a record that was read.
   * @param placed - The record.
   */
  observe({record, offset}: PlacedRecord): void {
    if (isSnapshotEnd(record.body, offset)) this.lastSnapshotReadAtMs = this.options.getNowMs();
  }

  private async run(): Promise<void> {
    const {signal} = this.stopping;
    const {intervalMs, random, sleep = systemSleep, getNowMs} = this.options;
    while (!signal.aborted) {
      const dueAtMs = this.lastSnapshotReadAtMs + intervalMs * (1 + SPREAD_SHARE * random());
      await sleep(Math.max(dueAtMs - getNowMs(), 0), signal);
      const isOthersNewer = this.lastSnapshotReadAtMs + intervalMs > getNowMs();
      if (signal.aborted || isOthersNewer) continue;
      await this.publish().catch(() => undefined);
      const retryFromMs = getNowMs() - intervalMs * (1 - RETRY_SHARE);
      this.lastSnapshotReadAtMs = Math.max(this.lastSnapshotReadAtMs, retryFromMs);
    }
  }

  private async publish(): Promise<void> {
    const {fold, writer, getNextOffset, isCaughtUp} = this.options;
    if (!fold.isComplete() || !isCaughtUp()) return;
    const bodies = fold.createSnapshot(getNextOffset() - 1);
    for (const body of bodies) await writer.propose(body);
  }
}

function isSnapshotEnd(body: LogBody, offset: number): boolean {
  if (body.kind === 'claims-snapshot') return body.part === body.parts - 1;
  return body.kind === 'configuration-snapshot' && body.coversOffset === offset - 1;
}
