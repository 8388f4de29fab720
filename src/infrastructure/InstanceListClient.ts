/** Client of the platform's lagging list of live and leaving instances. */
import {Agent} from 'undici';
import {z} from 'zod';
import type {InstancesSection} from '../blackboard/index.js';
import {instanceSchema} from './InstanceSchema.js';
import {callPlatform} from './PlatformCall.js';

/** Options of an `InstanceListClient`. */
export interface InstanceListClientOptions {
  /** Base URL with an IP number. */
  readonly url: string;
  readonly timeoutMs: number;
}

const listAnswerSchema = z.object({instances: z.array(instanceSchema), asOfMs: z.number()});

/** Reads the instance list over HTTP. */
export class InstanceListClient {
  private readonly options: InstanceListClientOptions;
  private readonly agent = new Agent({connections: 1, pipelining: 1});

  constructor(options: InstanceListClientOptions) {
    this.options = options;
  }

  /**
   * Returns the list; `readAtMs` is the instant that the platform says it is of.
   * @throws ServingError of kind `backend-failed`.
   */
  async getInstances(): Promise<InstancesSection> {
    const {url, timeoutMs} = this.options;
    const {instances, asOfMs} = await callPlatform({
      agent: this.agent,
      method: 'GET',
      url: `${url}/v1/list`,
      timeoutMs,
      answerSchema: listAnswerSchema,
    });
    return {instances, readAtMs: asOfMs};
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }
}
