/** Client of an entry's counters, which gives the number of requests refused for lack of backend servers. */
import {Agent} from 'undici';
import {z} from 'zod';
import type {Instance} from '../blackboard/index.js';
import {callPlatform} from './callPlatform.js';

/** Credentials and timeout of a `RefusalsClient`. */
export interface RefusalsClientOptions {
  /** Bearer key with which the daemons of the deployment authenticate to each other. */
  readonly deploymentKey: string;
  readonly timeoutMs: number;
}

/** Cumulative number of refused requests since the entry started. */
export interface RefusalCount {
  /** Requested service; undefined if the counter has no service tag. */
  readonly service?: string;
  readonly count: number;
}

const statsResponseSchema = z.object({
  metrics: z.array(
    z.object({name: z.string(), tags: z.record(z.string(), z.string()), count: z.number()}),
  ),
});

const ERRORS_COUNTER = 'request.errors';
/** Error kinds that additional backend servers would prevent. */
const CAPACITY_ERROR_KINDS: readonly string[] = ['overloaded', 'deadline-unreachable'];

/** Reads counters over HTTP, from the port on which an entry serves its callers. */
export class RefusalsClient {
  private readonly options: RefusalsClientOptions;
  private readonly agent = new Agent({connections: 1, pipelining: 1});

  constructor(options: RefusalsClientOptions) {
    this.options = options;
  }

  /**
   * Returns the refused requests of an entry since it started; a service can appear once per error kind.
   * @param entry - The instance that runs the entry.
   * @throws ServingError of kind `backend-failed` on a timeout, a network error or an invalid response.
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
      responseSchema: statsResponseSchema,
    });
    return metrics
      .filter(
        ({name, tags}) => name === ERRORS_COUNTER && CAPACITY_ERROR_KINDS.includes(tags.kind ?? ''),
      )
      .map(({tags, count}) => ({service: tags.service, count}));
  }

  /** Aborts pending calls and closes all connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }
}
