/** What an operator's client asks of the platform's instance list and of the daemons on it. */
import {Agent, request} from 'undici';
import {z} from 'zod';
import {ServingError} from '../errors/index.js';

const instanceSchema = z.object({
  instanceId: z.string(),
  role: z.enum(['entry', 'fleet', 'backend']),
  address: z.string(),
  port: z.number().int(),
  /** Port of an entry's interface for callers, where the list tells it apart from the peer port. */
  callersPort: z.number().int().optional(),
  failureDomain: z.string(),
  machineClass: z.string(),
  market: z.enum(['reclaimable', 'on-demand']),
  state: z.enum(['live', 'leaving', 'gone']),
  leavingAtMs: z.number().optional(),
  service: z.string().optional(),
  version: z.string().optional(),
});
const listSchema = z.object({instances: z.array(instanceSchema), asOfMs: z.number()});
const statusSchema = z.object({
  instanceId: z.string(),
  configurationRevision: z.number().int().min(0),
});

/** An instance of the platform's list. */
export type ListedInstance = z.infer<typeof instanceSchema>;

/** The platform's list with its age. */
export type InstanceListing = z.infer<typeof listSchema>;

/** What an entry said of itself, or why it said nothing. */
export interface EntryStatus {
  readonly instance: ListedInstance;
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
  private readonly agent = new Agent();

  constructor(options: DaemonsClientOptions) {
    this.options = options;
  }

  /**
   * Returns the platform's list, which lags by seconds.
   * @throws ServingError of kind `backend-failed` where the list gives no answer.
   */
  async getInstances(): Promise<InstanceListing> {
    const url = `${this.options.listUrl}/v1/list`;
    try {
      return listSchema.parse(await this.getJson(url));
    } catch (cause) {
      const reason = cause instanceof Error ? cause.message : String(cause);
      throw new ServingError(`instance list ${url}: ${reason}`, {kind: 'backend-failed', cause});
    }
  }

  /** Asks all entries that are not gone for their status, side by side. */
  async getEntryStatuses(): Promise<readonly EntryStatus[]> {
    const {instances} = await this.getInstances();
    const entries = instances.filter(({role, state}) => role === 'entry' && state !== 'gone');
    return Promise.all(entries.map(instance => this.getEntryStatus(instance)));
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async getEntryStatus(instance: ListedInstance): Promise<EntryStatus> {
    try {
      const answer = await this.getJson(`${getCallersUrl(instance)}/v1/status`);
      return {instance, configurationRevision: statusSchema.parse(answer).configurationRevision};
    } catch (cause) {
      return {instance, problem: cause instanceof Error ? cause.message : String(cause)};
    }
  }

  private async getJson(url: string): Promise<unknown> {
    const {deploymentKey, timeoutMs} = this.options;
    const response = await request(url, {
      dispatcher: this.agent,
      headers: {authorization: `Bearer ${deploymentKey}`},
      signal: AbortSignal.timeout(timeoutMs),
    });
    const text = await response.body.text();
    if (response.statusCode !== 200) throw new Error(`status ${response.statusCode}`);
    return JSON.parse(text) as unknown;
  }
}

function getCallersUrl({address, port, callersPort}: ListedInstance): string {
  const host = address.includes(':') ? `[${address}]` : address;
  return `http://${host}:${callersPort ?? port}`;
}
