/** Client of the platform's cloud API: instances, prices and reclaim notices. */
import {Agent} from 'undici';
import {z} from 'zod';
import type {Instance} from '../blackboard/index.js';
import {instanceSchema} from './InstanceSchema.js';
import {callPlatform} from './PlatformCall.js';

/** Options of a `CloudClient`. */
export interface CloudClientOptions {
  /** Base URL with an IP number. */
  readonly url: string;
  readonly timeoutMs: number;
}

/** A start of a backend server. */
export interface StartOrder {
  /** The same token gives the same instance. */
  readonly clientToken: string;
  readonly machineClass: string;
  readonly failureDomain: string;
  readonly market: 'reclaimable' | 'on-demand';
  readonly service: string;
  readonly version: string;
}

const startAnswerSchema = z.object({instanceId: z.string()});
const stopAnswerSchema = z.object({});
const instancesAnswerSchema = z.object({instances: z.array(instanceSchema)});
const priceSchema = z.object({
  failureDomain: z.string(),
  machineClass: z.string(),
  market: z.enum(['reclaimable', 'on-demand']),
  priceUsdPerHour: z.number(),
});
const pricesAnswerSchema = z.object({prices: z.array(priceSchema)});

/** Price of an instance as the cloud API gives it. */
export type CloudPrice = Readonly<z.infer<typeof priceSchema>>;

/** Talks to the cloud API over HTTP. */
export class CloudClient {
  private readonly options: CloudClientOptions;
  private readonly agent = new Agent({connections: 4, pipelining: 1});

  constructor(options: CloudClientOptions) {
    this.options = options;
  }

  /**
   * Starts a backend server; a repeat with the same token starts no second one.
   * @param order - What to start.
   * @returns The instance's id.
   * @throws ServingError of kind `conflict` where the cloud has no capacity, else of kind `backend-failed`.
   */
  async startInstance(order: StartOrder): Promise<string> {
    const answer = await callPlatform({
      ...this.getCall('/v1/instances'),
      method: 'POST',
      body: {...order, role: 'backend'},
      answerSchema: startAnswerSchema,
    });
    return answer.instanceId;
  }

  /**
   * Stops an instance; also fine where it is gone.
   * @param instanceId - The instance.
   * @throws ServingError of kind `backend-failed`.
   */
  async stopInstance(instanceId: string): Promise<void> {
    await callPlatform({
      ...this.getCall(`/v1/instances/${encodeURIComponent(instanceId)}`),
      method: 'DELETE',
      answerSchema: stopAnswerSchema,
    });
  }

  /**
   * Returns the instances as the cloud knows them now.
   * @throws ServingError of kind `backend-failed`.
   */
  async getInstances(): Promise<readonly Instance[]> {
    const answer = await callPlatform({
      ...this.getCall('/v1/instances'),
      method: 'GET',
      answerSchema: instancesAnswerSchema,
    });
    return answer.instances;
  }

  /**
   * Returns the present prices.
   * @throws ServingError of kind `backend-failed`.
   */
  async getPrices(): Promise<readonly CloudPrice[]> {
    const answer = await callPlatform({
      ...this.getCall('/v1/prices'),
      method: 'GET',
      answerSchema: pricesAnswerSchema,
    });
    return answer.prices;
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private getCall(path: string) {
    const {url, timeoutMs} = this.options;
    return {agent: this.agent, url: url + path, timeoutMs};
  }
}
