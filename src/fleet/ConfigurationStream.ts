/** Tails the configuration stream for a daemon that reads the configuration and publishes none. */
import type {Configuration} from '../configuration/index.js';
import {ConfigurationFold} from '../folds/index.js';
import {LogTailer, type LogAccess, type StoredRecord} from '../log/index.js';
import type {Logger} from '../logging/index.js';
import {decodeRecord} from '../records/index.js';

/** Options of a `ConfigurationStream`. */
export interface ConfigurationStreamOptions {
  readonly log: LogAccess;
  readonly logger: Logger;
  readonly getNowMs: () => number;
}

/** Keeps the configuration in force. */
export class ConfigurationStream {
  private readonly options: ConfigurationStreamOptions;
  private readonly fold = new ConfigurationFold();
  private readonly tailer: LogTailer;

  constructor(options: ConfigurationStreamOptions) {
    this.options = options;
    const {log, getNowMs} = options;
    this.tailer = new LogTailer({
      stream: 'configuration',
      log,
      getNowMs,
      onRecords: records => records.forEach(record => this.applyRecord(record)),
      onGap: () => this.fold.markIncomplete(),
    });
  }

  /** Starts reading. */
  start(): void {
    this.tailer.start();
  }

  /** Stops reading. */
  async stop(): Promise<void> {
    await this.tailer.stop();
  }

  /** Returns the configuration in force; undefined before the first. */
  getConfiguration(): Configuration | undefined {
    return this.fold.getConfiguration();
  }

  /** Returns the revision in force; 0 before the first. */
  getRevision(): number {
    return this.fold.getRevision();
  }

  private applyRecord({offset, payload}: StoredRecord): void {
    try {
      this.fold.applyRecord({offset, record: decodeRecord(payload)});
    } catch (error) {
      const fields = {offset, error: String(error)};
      this.options.logger.warn(fields, 'record of the configuration stream skipped');
    }
  }
}
