/** HTTP client of the platform's instance list and of the status and metrics endpoints of the listed entries. */
import {Agent, request} from 'undici';
import {z} from 'zod';
import type {Instance, InstancesSection} from '../blackboard/index.js';
import {InstanceListClient} from '../infrastructure/index.js';

const statusSchema = z.object({configurationRevision: z.number().int().min(0)});
const metricSchema = z.object({
  name: z.string(),
  tags: z.record(z.string(), z.string()),
  count: z.number(),
  p50: z.number().optional(),
  p95: z.number().optional(),
  p99: z.number().optional(),
  max: z.number().optional(),
});
const metricsSchema = z.array(metricSchema);
const statsSchema = z.union([metricsSchema, z.object({metrics: metricsSchema})]);

/** A counter, or the summary of a histogram with its quantiles, as one entry reports it. */
export type EntryMetric = Readonly<z.infer<typeof metricSchema>>;

/** Response of one entry, or the reason why there is none; exactly one of `answer` and `problem` is set. */
export interface EntryResponse<Body> {
  readonly instance: Instance;
  /** Parsed response body. */
  readonly answer?: Body;
  /** Error message. */
  readonly problem?: string;
}

/** Configuration revision of one entry, or the reason why it is unknown. */
export interface EntryStatus {
  readonly instance: Instance;
  /** Revision in force on the entry; undefined if the entry did not respond. */
  readonly configurationRevision?: number;
  /** Error message if the entry did not respond. */
  readonly problem?: string;
}

/** Options of a `DaemonsClient`. */
export interface DaemonsClientOptions {
  /** Base URL of the instance list. */
  readonly listUrl: string;
  /** Bearer key with which the entries authorise the client. */
  readonly deploymentKey: string;
  /** Time limit of each HTTP request. */
  readonly timeoutMs: number;
}

/** Reads the instance list, and queries all entries on it in parallel. Must be closed. */
export class DaemonsClient {
  private readonly options: DaemonsClientOptions;
  private readonly list: InstanceListClient;
  private readonly agent = new Agent();

  constructor(options: DaemonsClientOptions) {
    this.options = options;
    this.list = new InstanceListClient({url: options.listUrl, timeoutMs: options.timeoutMs});
  }

  /**
   * Returns the platform's instance list, which may be some seconds old.
   * @throws ServingError of kind `backend-failed` if the list can't be read.
   */
  async getInstances(): Promise<InstancesSection> {
    return this.list.getInstances();
  }

  /** Queries the status of all entries that are listed in a state other than `gone`, in parallel. */
  async getEntryStatuses(): Promise<readonly EntryStatus[]> {
    const responses = await this.queryEntries('/v1/status', statusSchema);
    return responses.map(({instance, answer, problem}) => ({
      instance,
      configurationRevision: answer?.configurationRevision,
      problem,
    }));
  }

  /** Queries the metrics of all entries that are listed in a state other than `gone`, in parallel. */
  async getEntryMetrics(): Promise<ReadonlyArray<EntryResponse<readonly EntryMetric[]>>> {
    const responses = await this.queryEntries('/v1/stats', statsSchema);
    return responses.map(({instance, answer, problem}) => ({
      instance,
      answer: answer && ('metrics' in answer ? answer.metrics : answer),
      problem,
    }));
  }

  /** Closes all connections; queries under way fail. */
  async close(): Promise<void> {
    await Promise.all([this.agent.destroy(), this.list.close()]);
  }

  private async queryEntries<Body>(
    path: string,
    schema: z.ZodType<Body>,
  ): Promise<ReadonlyArray<EntryResponse<Body>>> {
    const {instances} = await this.getInstances();
    const entries = instances.filter(({role, state}) => role === 'entry' && state !== 'gone');
    return Promise.all(entries.map(instance => this.queryEntry(instance, path, schema)));
  }

  private async queryEntry<Body>(
    instance: Instance,
    path: string,
    schema: z.ZodType<Body>,
  ): Promise<EntryResponse<Body>> {
    const {deploymentKey, timeoutMs} = this.options;
    try {
      const response = await request(getEntryUrl(instance) + path, {
        dispatcher: this.agent,
        headers: {authorization: `Bearer ${deploymentKey}`},
        signal: AbortSignal.timeout(timeoutMs),
      });
      const text = await response.body.text();
      if (response.statusCode !== 200) throw new Error(`status ${response.statusCode}`);
      return {instance, answer: schema.parse(JSON.parse(text))};
    } catch (cause) {
      return {instance, problem: cause instanceof Error ? cause.message : String(cause)};
    }
  }
}

function getEntryUrl({address, port}: Instance): string {
  const host = address.includes(':') ? `[${address}]` : address;
  return `http://${host}:${port}`;
}
