/** Client of an entry's counters, for how many requests it refused for want of backend servers. */
import {Agent} from 'undici';
import {z} from 'zod';
import type {Instance} from '../blackboard/index.js';
import {callPlatform} from './PlatformCall.js';

/** Options of a `RefusalsClient`. */
export interface RefusalsClientOptions {
  /** Bearer key among the deployment's own daemons. */
  readonly deploymentKey: string;
  readonly timeoutMs: number;
}

/** Refusals since the entry started. */
export interface RefusalCount {
  /** Service that was asked for; absent where the entry doesn't say. */
  readonly service?: string;
  readonly count: number;
}

const statsAnswerSchema = z.object({
  metrics: z.array(
    z.object({name: z.string(), tags: z.record(z.string(), z.string()), count: z.number()}),
  ),
});

const ERRORS_COUNTER = 'request.errors';
/** Kinds of refusals that more backend servers would spare. */
const REFUSAL_KINDS: readonly string[] = ['overloaded', 'deadline-unreachable'];

/** Reads counters over HTTP at the entries' address for callers. */
export class RefusalsClient {
  private readonly options: RefusalsClientOptions;
  private readonly agent = new Agent({connections: 1, pipelining: 1});

  constructor(options: RefusalsClientOptions) {
    this.options = options;
  }

  /**
   * Returns an entry's refusals since its start.
   * @param entry - The entry's instance.
   * @throws ServingError of kind `backend-failed`.
   */
  async getRefusals({address, port}: Instance): Promise<readonly RefusalCount[]> {
    const {deploymentKey, timeoutMs} = this.options;
    const host = address.includes(':') ? `[${address}]` : address;
    const {metrics} = await callPlatform({
      agent: this.agent,
      method: 'GET',
      url: `http://${host}:${port}/v1/stats`,
      bearer: deploymentKey,
      timeoutMs,
      answerSchema: statsAnswerSchema,
    });
    return metrics
      .filter(({name, tags}) => name === ERRORS_COUNTER && REFUSAL_KINDS.includes(tags.kind ?? ''))
      .map(({tags, count}) => ({service: tags.service, count}));
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }
}
