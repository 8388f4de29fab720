/** Follows the configuration stream and republishes its state as a snapshot before retention deletes it. */
import type {Configuration} from '../configuration/index.js';
import {ConfigurationFold} from '../folds/index.js';
import {LogWriter, SnapshotPublisher, StreamFollower, type LogAccess} from '../log/index.js';
import type {Logger} from '../logging/index.js';

/** Options of a `ConfigurationStream`, which follows and republishes the configuration. */
export interface ConfigurationStreamOptions {
  readonly log: LogAccess;
  /** Unique id of this process run; prefix of its writer ids. */
  readonly incarnation: string;
  readonly logger: Logger;
  /** Returns the current Unix time in milliseconds. */
  readonly getNowMs: () => number;
  /** Maximum time between two snapshots in the stream; must be well below the log's retention. */
  readonly snapshotIntervalMs: number;
}

const STREAM = 'configuration';
const WRITE_TIMEOUT_MS = 10_000;
/** The fold counts as caught up if a read reached the end of the stream within this time. */
const CAUGHT_UP_WINDOW_MS = 4_000;

/** Replicates the configuration in force from the configuration stream. */
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
        logger.warn({offset}, 'skipped an invalid record of the configuration stream'),
    });
  }

  /** Starts following the stream and publishing snapshots. */
  start(): void {
    this.follower.start();
    this.publisher.start();
  }

  /** Stops following the stream and publishing snapshots. */
  async stop(): Promise<void> {
    await Promise.all([this.follower.stop(), this.publisher.stop()]);
  }

  /** Returns the configuration in force; undefined before the first one was read. */
  getConfiguration(): Configuration | undefined {
    return this.fold.getConfiguration();
  }

  /** Returns the revision in force; 0 before the first one was read. */
  getRevision(): number {
    return this.fold.getRevision();
  }

  private isCaughtUp(): boolean {
    const caughtUpAtMs = this.follower.getCaughtUpAtMs();
    const nowMs = this.options.getNowMs();
    return caughtUpAtMs !== undefined && nowMs < caughtUpAtMs + CAUGHT_UP_WINDOW_MS;
  }
}
