/** Follows the configuration stream, and publishes its state again before retention passes, as the entries do. */
import type {Configuration} from '../configuration/index.js';
import {ConfigurationFold} from '../folds/index.js';
import {LogWriter, SnapshotPublisher, StreamFollower, type LogAccess} from '../log/index.js';
import type {Logger} from '../logging/index.js';

/** Options of a `ConfigurationStream`. */
export interface ConfigurationStreamOptions {
  readonly log: LogAccess;
  /** Incarnation of this process. */
  readonly incarnation: string;
  readonly logger: Logger;
  readonly getNowMs: () => number;
  /** Longest time without a snapshot in the stream; well below the log's retention. */
  readonly snapshotIntervalMs: number;
}

const STREAM = 'configuration';
const WRITE_TIMEOUT_MS = 10_000;
/** Age up to which a read of the log's end counts as standing at its end. */
const LOG_READ_WINDOW_MS = 4_000;

/** Keeps the configuration in force. */
export class ConfigurationStream {
  private readonly options: ConfigurationStreamOptions;
  private readonly fold = new ConfigurationFold();
  private readonly follower: StreamFollower;
  private readonly publisher: SnapshotPublisher;

  constructor(options: ConfigurationStreamOptions) {
    this.options = options;
    const {log, incarnation, logger, getNowMs, snapshotIntervalMs} = options;
    const writer = new LogWriter({
      stream: STREAM,
      log,
      writer: `${incarnation}/configuration`,
      timeoutMs: WRITE_TIMEOUT_MS,
    });
    this.publisher = new SnapshotPublisher({
      fold: this.fold,
      writer,
      getNowMs,
      random: Math.random,
      intervalMs: snapshotIntervalMs,
      getNextOffset: () => this.follower.getNextOffset(),
      isCaughtUp: () => this.isCaughtUp(),
    });
    this.follower = new StreamFollower({
      stream: STREAM,
      log,
      getNowMs,
      fold: this.fold,
      writer,
      onApplied: placed => this.publisher.observe(placed),
      onInvalidRecord: offset =>
        logger.warn({offset}, 'record of the configuration stream skipped'),
    });
  }

  /** Starts reading. */
  start(): void {
    this.follower.start();
    this.publisher.start();
  }

  /** Stops reading and publishing. */
  async stop(): Promise<void> {
    await Promise.all([this.follower.stop(), this.publisher.stop()]);
  }

  /** Returns the configuration in force; undefined before the first. */
  getConfiguration(): Configuration | undefined {
    return this.fold.getConfiguration();
  }

  /** Returns the revision in force; 0 before the first. */
  getRevision(): number {
    return this.fold.getRevision();
  }

  private isCaughtUp(): boolean {
    const caughtUpAtMs = this.follower.getCaughtUpAtMs();
    const nowMs = this.options.getNowMs();
    return caughtUpAtMs !== undefined && nowMs < caughtUpAtMs + LOG_READ_WINDOW_MS;
  }
}
