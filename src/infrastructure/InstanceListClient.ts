/** Client of the platform's instance list, which contains live and leaving instances and lags behind the cloud API. */
import {Agent} from 'undici';
import {z} from 'zod';
import type {InstancesSection} from '../blackboard/index.js';
import {instanceSchema} from './InstanceSchema.js';
import {callPlatform} from './callPlatform.js';

/** Base URL and timeout of an `InstanceListClient`. */
export interface InstanceListClientOptions {
  /** Base URL without a trailing slash; its host is an IP address. */
  readonly url: string;
  readonly timeoutMs: number;
}

const listResponseSchema = z.object({instances: z.array(instanceSchema), asOfMs: z.number()});

/** Reads the instance list over HTTP, on a single connection. */
export class InstanceListClient {
  private readonly options: InstanceListClientOptions;
  private readonly agent = new Agent({connections: 1, pipelining: 1});

  constructor(options: InstanceListClientOptions) {
    this.options = options;
  }

  /**
   * Returns the instance list; `readAtMs` is the time at which the platform compiled it.
   * @throws ServingError of kind `backend-failed` on a timeout, a network error or an invalid response.
   */
  async getInstances(): Promise<InstancesSection> {
    const {url, timeoutMs} = this.options;
    const {instances, asOfMs} = await callPlatform({
      agent: this.agent,
      method: 'GET',
      url: `${url}/v1/list`,
      timeoutMs,
      responseSchema: listResponseSchema,
    });
    return {instances, readAtMs: asOfMs};
  }

  /** Aborts pending calls and closes all connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }
}
