/** Writes snapshots of a fold's state to its stream before the log drops the records that they cover. */
import type {SnapshotFold} from '../folds/index.js';
import type {LogBody, PlacedRecord} from '../records/index.js';
import {systemSleep, type Sleep} from './Sleep.js';
import type {LogWriter} from './LogWriter.js';

/** Options of a `SnapshotPublisher`. */
export interface SnapshotPublisherOptions {
  readonly fold: SnapshotFold;
  readonly writer: LogWriter;
  /** Time since the last complete snapshot after which the next one is due; must be well below the log's retention. */
  readonly intervalMs: number;
  readonly getNowMs: () => number;
  /** Returns a random number in [0, 1), which spreads the publishers of a deployment over time. */
  readonly random: () => number;
  /** Returns the offset of the next record to read. */
  readonly getNextOffset: () => number;
  /** Returns whether the stream has been read up to its end. */
  readonly isCaughtUp: () => boolean;
  readonly sleep?: Sleep;
}

/**
 * Fraction of the interval after which a publisher retries if its snapshot had no effect, such as a configuration
 * snapshot that isn't directly after the records that it covers.
 */
const RETRY_FRACTION = 0.05;
/** Maximum random delay added to the interval, as a fraction of it. */
const MAX_JITTER_FRACTION = 0.5;

/**
 * Every entry may publish. Each waits for the interval and a random delay after the last snapshot that it read, so that
 * usually one publishes and the others read that snapshot before their own delay ends.
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

  /** Starts the loop that publishes when a snapshot is due. */
  start(): void {
    this.loop ??= this.run();
  }

  /** Stops the loop without publishing a last snapshot. */
  async stop(): Promise<void> {
    this.stopping.abort();
    await this.loop;
  }

  /** Restarts the interval if a record completes a snapshot. Must be called for each record that is read. */
  observe({record, offset}: PlacedRecord): void {
    if (completesSnapshot(record.body, offset)) this.lastSnapshotReadAtMs = this.options.getNowMs();
  }

  private async run(): Promise<void> {
    const {signal} = this.stopping;
    const {intervalMs, random, sleep = systemSleep, getNowMs} = this.options;
    while (!signal.aborted) {
      const dueAtMs = this.lastSnapshotReadAtMs + intervalMs * (1 + MAX_JITTER_FRACTION * random());
      await sleep(Math.max(dueAtMs - getNowMs(), 0), signal);
      const hasRecentSnapshot = this.lastSnapshotReadAtMs + intervalMs > getNowMs();
      if (signal.aborted || hasRecentSnapshot) continue;
      await this.publish().catch(() => undefined);
      const retryBaseMs = getNowMs() - intervalMs * (1 - RETRY_FRACTION);
      this.lastSnapshotReadAtMs = Math.max(this.lastSnapshotReadAtMs, retryBaseMs);
    }
  }

  private async publish(): Promise<void> {
    const {fold, writer, getNextOffset, isCaughtUp} = this.options;
    if (!fold.isComplete() || !isCaughtUp()) return;
    const bodies = fold.createSnapshot(getNextOffset() - 1);
    for (const body of bodies) await writer.propose(body);
  }
}

function completesSnapshot(body: LogBody, offset: number): boolean {
  if (body.kind === 'claims-snapshot') return body.part === body.parts - 1;
  return body.kind === 'configuration-snapshot' && body.coversOffset === offset - 1;
}
