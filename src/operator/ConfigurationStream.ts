/** Reads the configuration in force from the log and publishes new configurations with compare-and-set. */
import type {Configuration} from '../configuration/index.js';
import {ServingError} from '../errors/index.js';
import {ConfigurationFold, type ConfigurationRecordResult} from '../folds/index.js';
import {StreamSession, type SessionOptions} from './StreamSession.js';

/** The configuration in force and its revision. */
export interface ConfigurationInForce {
  /** 0 before the first configuration was published. */
  readonly revision: number;
  /** Undefined before the first configuration was published. */
  readonly configuration: Configuration | undefined;
}

/** Result of publishing a configuration. */
export interface PublishResult extends ConfigurationRecordResult {
  /** Offset of the record in the configuration stream. */
  readonly offset: number;
}

/**
 * Follows the configuration stream from `open` to `close`, and publishes to it. Publications are appended one at a
 * time; a concurrent call of `publish` waits for the previous one.
 */
export class ConfigurationStream {
  private readonly fold = new ConfigurationFold();
  private readonly session: StreamSession<ConfigurationRecordResult>;
  private hasGap = false;

  constructor(options: SessionOptions) {
    this.session = new StreamSession({
      ...options,
      stream: 'configuration',
      fold: this.fold,
      getLastResult: () => this.fold.getLastResult(),
      onGap: () => {
        this.hasGap = true;
        this.fold.markIncomplete();
      },
    });
  }

  /**
   * Starts to follow the stream and waits until all of its records have been read.
   * @throws ServingError of kind `log-unavailable` if the log does not respond within `timeoutMs`.
   */
  async open(): Promise<void> {
    await this.session.open();
  }

  /** Stops following the stream. */
  async close(): Promise<void> {
    await this.session.close();
  }

  /**
   * Returns the configuration in force according to the records read so far.
   * @throws ServingError of kind `configuration-unknown` if retention dropped records that no snapshot covers.
   */
  getInForce(): ConfigurationInForce {
    const revision = this.fold.getRevision();
    if (this.hasGap && revision === 0) {
      throw new ServingError(
        'the log has dropped old records and has no snapshot that covers them yet',
        {
          kind: 'configuration-unknown',
        },
      );
    }
    return {revision, configuration: this.fold.getConfiguration()};
  }

  /**
   * Publishes a configuration and waits until its record has been read back from the log.
   * @param configuration - The new configuration.
   * @param replacesRevision - Revision that the publisher expects to be in force; the configuration is rejected if
   *     another one is.
   * @param publishedBy - Name of the operator; shown to another operator whose publication conflicts.
   * @throws ServingError of kind `log-unavailable` if the record was not read back in time; it may still be in the log
   *     and in force.
   */
  async publish(
    configuration: Configuration,
    replacesRevision: number,
    publishedBy: string,
  ): Promise<PublishResult> {
    const {offset, result} = await this.session.propose({
      kind: 'configuration',
      replacesRevision,
      publishedBy,
      configuration,
    });
    return {...result, offset};
  }
}
