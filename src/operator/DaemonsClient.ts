/** What an operator's client asks of the platform's instance list and of the entries on it. */
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

/** A counter or the summary of a histogram of one entry. */
export type EntryMetric = Readonly<z.infer<typeof metricSchema>>;

/** What an entry answered, or why it gave no answer. */
export interface EntryAnswer<Answer> {
  readonly instance: Instance;
  readonly answer?: Answer;
  readonly problem?: string;
}

/** What an entry said of itself, or why it said nothing. */
export interface EntryStatus {
  readonly instance: Instance;
  /** Absent where the entry gave no answer. */
  readonly configurationRevision?: number;
  readonly problem?: string;
}

/** Options of a `DaemonsClient`. */
export interface DaemonsClientOptions {
  /** Base URL of the instance list. */
  readonly listUrl: string;
  readonly deploymentKey: string;
  readonly timeoutMs: number;
}

/** Asks the instance list, and each entry on it. */
export class DaemonsClient {
  private readonly options: DaemonsClientOptions;
  private readonly list: InstanceListClient;
  private readonly agent = new Agent();

  constructor(options: DaemonsClientOptions) {
    this.options = options;
    this.list = new InstanceListClient({url: options.listUrl, timeoutMs: options.timeoutMs});
  }

  /**
   * Returns the platform's list, which lags by seconds.
   * @throws ServingError of kind `backend-failed` where the list gives no answer.
   */
  async getInstances(): Promise<InstancesSection> {
    return this.list.getInstances();
  }

  /** Asks all entries that are not gone for their status, side by side. */
  async getEntryStatuses(): Promise<readonly EntryStatus[]> {
    const answers = await this.askEntries('/v1/status', statusSchema);
    return answers.map(({instance, answer, problem}) => ({
      instance,
      configurationRevision: answer?.configurationRevision,
      problem,
    }));
  }

  /** Asks all entries that are not gone for their metrics, side by side. */
  async getEntryMetrics(): Promise<ReadonlyArray<EntryAnswer<readonly EntryMetric[]>>> {
    const answers = await this.askEntries('/v1/stats', statsSchema);
    return answers.map(({instance, answer, problem}) => ({
      instance,
      answer: answer && ('metrics' in answer ? answer.metrics : answer),
      problem,
    }));
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await Promise.all([this.agent.destroy(), this.list.close()]);
  }

  private async askEntries<Answer>(
    path: string,
    schema: z.ZodType<Answer>,
  ): Promise<ReadonlyArray<EntryAnswer<Answer>>> {
    const {instances} = await this.getInstances();
    const entries = instances.filter(({role, state}) => role === 'entry' && state !== 'gone');
    return Promise.all(entries.map(instance => this.askEntry(instance, path, schema)));
  }

  private async askEntry<Answer>(
    instance: Instance,
    path: string,
    schema: z.ZodType<Answer>,
  ): Promise<EntryAnswer<Answer>> {
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
