/** Operators of a scenario, who publish configurations, move versions and take failure domains out of service. */
import {randomUUID} from 'node:crypto';
import type {FailureDomainState, Move} from '../../src/blackboard/index.js';
import type {Configuration} from '../../src/configuration/index.js';
import {LogClient} from '../../src/log/index.js';
import {ConfigurationStream, FleetStream, type PublishResult} from '../../src/operator/index.js';

/** Result of publishing a configuration; `publishedAtMs` is when the result was known (Unix time in ms). */
export interface Publication {
  readonly operator: string;
  readonly publishedAtMs: number;
  readonly result: PublishResult;
}

const LOG_TIMEOUT_MS = 2_000;
const RESULT_TIMEOUT_MS = 20_000;

/** Writes operator records to the log, like `buckthornctl`. */
export class Operators {
  private readonly log: LogClient;
  private readonly publications: Publication[] = [];

  constructor(logUrl: string) {
    this.log = new LogClient({url: logUrl, timeoutMs: LOG_TIMEOUT_MS});
  }

  /** Publishes each configuration as a different operator, all concurrently over the revision in force. */
  async publish(configurations: readonly Configuration[]): Promise<readonly Publication[]> {
    const streams = configurations.map(() => new ConfigurationStream(this.createSession()));
    try {
      await Promise.all(streams.map(stream => stream.open()));
      const revisions = streams.map(stream => stream.getInForce().revision);
      const published = await Promise.all(
        streams.map(async (stream, index) => {
          const operator = `operator-${index + 1}`;
          const result = await stream.publish(configurations[index], revisions[index], operator);
          return {operator, publishedAtMs: Date.now(), result};
        }),
      );
      this.publications.push(...published);
      return published;
    } finally {
      await Promise.all(streams.map(stream => stream.close()));
    }
  }

  /** Returns the results of all publications, accepted or not. */
  getPublications(): readonly Publication[] {
    return this.publications;
  }

  /** Requests a move of a service between versions, with a deadline `withinMs` from now. */
  async move(service: string, fromVersion: string, toVersion: string, withinMs: number) {
    await this.withFleetStream(async stream => {
      const requestedAtMs = Date.now();
      await stream.requestMove({
        moveId: randomUUID(),
        service,
        fromVersion,
        toVersion,
        requestedAtMs,
        deadlineAtMs: requestedAtMs + withinMs,
        requestedBy: 'operator-1',
      });
    });
  }

  /** Orders a failure domain out of service or back. */
  async setDomainState(name: string, state: FailureDomainState): Promise<void> {
    await this.withFleetStream(async stream => {
      await stream.orderFailureDomain(name, state, 'operator-1', Date.now());
    });
  }

  /** Returns the current state of all moves in the log. */
  async getMoves(): Promise<readonly Move[]> {
    return this.withFleetStream(stream => Promise.resolve(stream.getMoves()));
  }

  /** Closes the connections to the log. */
  async close(): Promise<void> {
    await this.log.close();
  }

  private async withFleetStream<Value>(
    useStream: (stream: FleetStream) => Promise<Value>,
  ): Promise<Value> {
    const stream = new FleetStream(this.createSession());
    try {
      await stream.open();
      return await useStream(stream);
    } finally {
      await stream.close();
    }
  }

  private createSession() {
    return {
      log: this.log,
      writer: `scenario/${randomUUID()}`,
      getNowMs: Date.now,
      timeoutMs: RESULT_TIMEOUT_MS,
    };
  }
}
