/** What operators do in a scenario: publish, move versions, take failure domains out. */
import {randomUUID} from 'node:crypto';
import type {FailureDomainState, Move} from '../../src/blackboard/index.js';
import type {Configuration} from '../../src/configuration/index.js';
import {LogClient} from '../../src/log/index.js';
import {ConfigurationStream, FleetStream, type PublishResult} from '../../src/operator/index.js';

/** What an operator published, and what became of it. */
export interface Publication {
  readonly operator: string;
  readonly publishedAtMs: number;
  readonly result: PublishResult;
}

const LOG_TIMEOUT_MS = 2_000;
const VERDICT_TIMEOUT_MS = 20_000;

/** Talks to the log as `buckthornctl` does. */
export class Operators {
  private readonly log: LogClient;
  private readonly publications: Publication[] = [];

  constructor(logUrl: string) {
    this.log = new LogClient({url: logUrl, timeoutMs: LOG_TIMEOUT_MS});
  }

  /** Lets operators publish over the same revision, all at once. */
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

  /** Returns all that was published. */
  getPublications(): readonly Publication[] {
    return this.publications;
  }

  /** Asks for a move from the version in force. */
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

  /** Orders a failure domain out or back. */
  async orderDomain(name: string, state: FailureDomainState): Promise<void> {
    await this.withFleetStream(async stream => {
      await stream.orderFailureDomain(name, state, 'operator-1', Date.now());
    });
  }

  /** Returns the moves as the log gives them now. */
  async getMoves(): Promise<readonly Move[]> {
    return this.withFleetStream(stream => Promise.resolve(stream.getMoves()));
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.log.close();
  }

  private async withFleetStream<Value>(
    use: (stream: FleetStream) => Promise<Value>,
  ): Promise<Value> {
    const stream = new FleetStream(this.createSession());
    try {
      await stream.open();
      return await use(stream);
    } finally {
      await stream.close();
    }
  }

  private createSession() {
    return {
      log: this.log,
      writer: `scenario/${randomUUID()}`,
      getNowMs: Date.now,
      timeoutMs: VERDICT_TIMEOUT_MS,
    };
  }
}
