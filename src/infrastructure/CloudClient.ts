/** Client of the platform's cloud API, which lists, starts and stops instances and gives their prices. */
import {Agent} from 'undici';
import {z} from 'zod';
import type {Instance} from '../blackboard/index.js';
import {instanceSchema} from './InstanceSchema.js';
import {callPlatform} from './callPlatform.js';

/** Base URL and timeout of a `CloudClient`. */
export interface CloudClientOptions {
  /** Base URL without a trailing slash; its host is an IP address. */
  readonly url: string;
  readonly timeoutMs: number;
}

/** Parameters of a request to start a backend server. */
export interface StartInstanceRequest {
  /** Idempotency token: a repeated request with the same token returns the same instance. */
  readonly clientToken: string;
  readonly machineClass: string;
  readonly failureDomain: string;
  readonly market: 'reclaimable' | 'on-demand';
  readonly service: string;
  readonly version: string;
}

const startResponseSchema = z.object({instanceId: z.string()});
const stopResponseSchema = z.object({});
const instancesResponseSchema = z.object({instances: z.array(instanceSchema)});
const priceSchema = z.object({
  failureDomain: z.string(),
  machineClass: z.string(),
  market: z.enum(['reclaimable', 'on-demand']),
  priceUsdPerHour: z.number(),
});
const pricesResponseSchema = z.object({prices: z.array(priceSchema)});

/** Current price of a machine class in a failure domain and market. */
export type CloudPrice = Readonly<z.infer<typeof priceSchema>>;

/** Calls the cloud API over HTTP, with at most four connections. */
export class CloudClient {
  private readonly options: CloudClientOptions;
  private readonly agent = new Agent({connections: 4, pipelining: 1});

  constructor(options: CloudClientOptions) {
    this.options = options;
  }

  /**
   * Starts a backend server and returns its instance id. A retry with the same client token starts no second instance.
   * @throws ServingError of kind `conflict` if the cloud has no capacity, else of kind `backend-failed`.
   */
  async startInstance(order: StartInstanceRequest): Promise<string> {
    const answer = await callPlatform({
      ...this.createCallOptions('/v1/instances'),
      method: 'POST',
      body: {...order, role: 'backend'},
      responseSchema: startResponseSchema,
    });
    return answer.instanceId;
  }

  /**
   * Stops an instance; does nothing if it has been removed already.
   * @throws ServingError of kind `backend-failed` on a timeout, a network error or an invalid response.
   */
  async stopInstance(instanceId: string): Promise<void> {
    await callPlatform({
      ...this.createCallOptions(`/v1/instances/${encodeURIComponent(instanceId)}`),
      method: 'DELETE',
      responseSchema: stopResponseSchema,
    });
  }

  /**
   * Returns all instances that the cloud lists, including removed ones.
   * @throws ServingError of kind `backend-failed` on a timeout, a network error or an invalid response.
   */
  async getInstances(): Promise<readonly Instance[]> {
    const answer = await callPlatform({
      ...this.createCallOptions('/v1/instances'),
      method: 'GET',
      responseSchema: instancesResponseSchema,
    });
    return answer.instances;
  }

  /**
   * Returns the current prices by failure domain, machine class and market.
   * @throws ServingError of kind `backend-failed` on a timeout, a network error or an invalid response.
   */
  async getPrices(): Promise<readonly CloudPrice[]> {
    const answer = await callPlatform({
      ...this.createCallOptions('/v1/prices'),
      method: 'GET',
      responseSchema: pricesResponseSchema,
    });
    return answer.prices;
  }

  /** Aborts pending calls and closes all connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private createCallOptions(path: string) {
    const {url, timeoutMs} = this.options;
    return {agent: this.agent, url: url + path, timeoutMs};
  }
}
