/** The configuration stream as an operator's client uses it: what is in force, and publishing with compare-and-set. */
import type {Configuration} from '../configuration/index.js';
import {ServingError} from '../errors/index.js';
import {ConfigurationFold, type ConfigurationVerdict} from '../folds/index.js';
import {StreamSession, type SessionOptions} from './StreamSession.js';

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

/** Follows the configuration stream; one at a time, publishes on it. */
export class ConfigurationStream {
  private readonly fold = new ConfigurationFold();
  private readonly session: StreamSession<ConfigurationVerdict>;
  private hasGap = false;

  constructor(options: SessionOptions) {
    this.session = new StreamSession({
      ...options,
      stream: 'configuration',
      fold: this.fold,
      getVerdict: () => this.fold.getLastVerdict(),
      onGap: () => {
        this.hasGap = true;
        this.fold.markIncomplete();
      },
    });
  }

  /**
   * Reads to the end of the stream.
   * @throws ServingError of kind `log-unavailable` where the log gives no answer in time.
   */
  async open(): Promise<void> {
    await this.session.open();
  }

  /** Ends the reading. */
  async close(): Promise<void> {
    await this.session.close();
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
   * Publishes a configuration and waits for the verdict.
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
    const {offset, verdict} = await this.session.propose({
      kind: 'configuration',
      replacesRevision,
      publishedBy,
      configuration,
    });
    return {...verdict, offset};
  }
}
