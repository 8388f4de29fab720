/** Client of the platform's weight store, which loads model weights onto instances at a limited rate. */
import {Agent} from 'undici';
import {z} from 'zod';
import {callPlatform} from './callPlatform.js';

/** Base URL and timeout of a `WeightStoreClient`. */
export interface WeightStoreClientOptions {
  /** Base URL without a trailing slash; its host is an IP address. */
  readonly url: string;
  readonly timeoutMs: number;
}

/** Parameters of a request to load the weights of a version onto an instance. */
export interface WeightLoadRequest {
  readonly instanceId: string;
  readonly version: string;
  readonly fencingToken: number;
}

const startResponseSchema = z.object({loadId: z.string()});
const loadResponseSchema = z.object({
  state: z.enum(['queued', 'running', 'done']),
  progressPercent: z.number(),
});

/** State of a weight load. */
export type WeightLoadState = z.infer<typeof loadResponseSchema>['state'];

/** Calls the weight store over HTTP, with at most two connections. */
export class WeightStoreClient {
  private readonly options: WeightStoreClientOptions;
  private readonly agent = new Agent({connections: 2, pipelining: 1});

  constructor(options: WeightStoreClientOptions) {
    this.options = options;
  }

  /**
   * Starts a weight load and returns its id.
   * @throws ServingError of kind `backend-failed` on a timeout, a network error or an invalid response.
   */
  async startLoad(order: WeightLoadRequest): Promise<string> {
    const answer = await callPlatform({
      ...this.createCallOptions('/v1/loads'),
      method: 'POST',
      body: order,
      responseSchema: startResponseSchema,
    });
    return answer.loadId;
  }

  /**
   * Returns whether a weight load is queued, running or done.
   * @param loadId - The id that `startLoad` returned.
   * @throws ServingError of kind `backend-failed` on a timeout, a network error or an invalid response.
   */
  async getLoadState(loadId: string): Promise<WeightLoadState> {
    const answer = await callPlatform({
      ...this.createCallOptions(`/v1/loads/${encodeURIComponent(loadId)}`),
      method: 'GET',
      responseSchema: loadResponseSchema,
    });
    return answer.state;
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
