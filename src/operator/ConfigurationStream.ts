/** The configuration stream as an operator's client uses it: what is in force, and publishing with compare-and-set. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Configuration} from '../configuration/index.js';
import {ServingError} from '../errors/index.js';
import {ConfigurationFold, type ConfigurationVerdict} from '../folds/index.js';
import {LogTailer, LogWriter, type LogAccess, type StoredRecord} from '../log/index.js';
import {decodeRecord} from '../records/index.js';

/** Options of a `ConfigurationStream`. */
export interface ConfigurationStreamOptions {
  readonly log: LogAccess;
  /** Incarnation of this process in the log. */
  readonly writer: string;
  readonly getNowMs: () => number;
  /** Longest wait for the log, for a read as for an append. */
  readonly timeoutMs: number;
}

/** What is in force. */
export interface ConfigurationInForce {
  /** 0 before the first configuration. */
  readonly revision: number;
  readonly configuration: Configuration | undefined;
}

/** What became of a published configuration. */
export interface PublishResult extends ConfigurationVerdict {
  /** Offset of the record in the configuration stream. */
  readonly offset: number;
}

const CATCH_UP_POLL_MS = 10;

/** Follows the configuration stream; one at a time, publishes on it. */
export class ConfigurationStream {
  private readonly options: ConfigurationStreamOptions;
  private readonly fold = new ConfigurationFold();
  private readonly verdicts = new Map<number, ConfigurationVerdict>();
  private readonly tailer: LogTailer;
  private readonly writer: LogWriter;
  private hasGap = false;

  constructor(options: ConfigurationStreamOptions) {
    const {log, writer, getNowMs, timeoutMs} = options;
    this.options = options;
    this.writer = new LogWriter({stream: 'configuration', log, writer, timeoutMs});
    this.tailer = new LogTailer({
      stream: 'configuration',
      log,
      getNowMs,
      onRecords: records => records.forEach(record => this.applyRecord(record)),
      onGap: () => {
        this.hasGap = true;
      },
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
      await sleep(CATCH_UP_POLL_MS);
    }
  }

  /** Ends the reading. */
  async close(): Promise<void> {
    await this.tailer.stop();
  }

  /**
   * Returns what is in force as far as the stream was read.
   * @throws ServingError of kind `configuration-unknown` where retention dropped records that no snapshot covers.
   */
  getInForce(): ConfigurationInForce {
    const revision = this.fold.getRevision();
    if (this.hasGap && revision === 0) {
      throw new ServingError('the log has dropped old records and holds no snapshot of them yet', {
        kind: 'configuration-unknown',
      });
    }
    return {revision, configuration: this.fold.getConfiguration()};
  }

  /**
   * Publishes a configuration and waits for the verdict, which every reader of the log computes alike.
   * @param configuration - What is to be in force.
   * @param replacesRevision - The revision that the operator has seen in force.
   * @param publishedBy - Who publishes, for the one who loses a race.
   * @throws ServingError of kind `log-unavailable` where the record was not read back; it may stand all the same.
   */
  async publish(
    configuration: Configuration,
    replacesRevision: number,
    publishedBy: string,
  ): Promise<PublishResult> {
    const {offset} = await this.writer.propose({
      kind: 'configuration',
      replacesRevision,
      publishedBy,
      configuration,
    });
    const verdict = this.verdicts.get(offset);
    if (!verdict) throw new ServingError(`no verdict at offset ${offset}`, {kind: 'internal'});
    return {...verdict, offset};
  }

  private applyRecord({offset, payload}: StoredRecord): void {
    const record = tryDecode(payload);
    if (!record) return;
    this.fold.applyRecord({offset, record});
    const verdict = this.fold.getLastVerdict();
    if (verdict) this.verdicts.set(offset, verdict);
    this.writer.observe({offset, record});
  }
}

/** A record that can't be read is skipped by every reader alike. */
function tryDecode(payload: string): ReturnType<typeof decodeRecord> | undefined {
  try {
    return decodeRecord(payload);
  } catch {
    return undefined;
  }
}
