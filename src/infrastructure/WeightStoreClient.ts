/** Client of the platform's rate-limited weight store. */
import {Agent} from 'undici';
import {z} from 'zod';
import {callPlatform} from './PlatformCall.js';

/** Options of a `WeightStoreClient`. */
export interface WeightStoreClientOptions {
  /** Base URL with an IP number. */
  readonly url: string;
  readonly timeoutMs: number;
}

/** A load of a version's weights onto an instance. */
export interface WeightLoadOrder {
  readonly instanceId: string;
  readonly version: string;
  readonly fencingToken: number;
}

const startAnswerSchema = z.object({loadId: z.string()});
const loadAnswerSchema = z.object({
  state: z.enum(['queued', 'running', 'done']),
  progressPercent: z.number(),
});

/** How far a load is. */
export type WeightLoadState = z.infer<typeof loadAnswerSchema>['state'];

/** Talks to the weight store over HTTP. */
export class WeightStoreClient {
  private readonly options: WeightStoreClientOptions;
  private readonly agent = new Agent({connections: 2, pipelining: 1});

  constructor(options: WeightStoreClientOptions) {
    this.options = options;
  }

  /**
   * Starts a load.
   * @param order - What to load, and where to.
   * @returns The load's id.
   * @throws ServingError of kind `backend-failed`.
   */
  async startLoad(order: WeightLoadOrder): Promise<string> {
    const answer = await callPlatform({
      ...this.getCall('/v1/loads'),
      method: 'POST',
      body: order,
      answerSchema: startAnswerSchema,
    });
    return answer.loadId;
  }

  /**
   * Returns how far a load is.
   * @param loadId - The load.
   * @throws ServingError of kind `backend-failed`.
   */
  async getLoadState(loadId: string): Promise<WeightLoadState> {
    const answer = await callPlatform({
      ...this.getCall(`/v1/loads/${encodeURIComponent(loadId)}`),
      method: 'GET',
      answerSchema: loadAnswerSchema,
    });
    return answer.state;
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
