/** Collects the load of backend servers and the number of requests that entries refused, for the lease holder. */
import type {Instance} from '../blackboard/index.js';
import {LOAD_REPORT_TTL_MS, type ServerLoad} from '../controllers/capacity/index.js';
import {EngineClient} from '../engine/index.js';
import type {Metrics} from '../metrics/index.js';
import type {RefusalCount, RefusalsClient} from '../infrastructure/index.js';

/** Collaborators of a `ServerLoadCollector`. */
export interface ServerLoadCollectorOptions {
  readonly refusalsClient: RefusalsClient;
  readonly metrics: Metrics;
}

/** Cumulative refusal counters of an entry at one point in time. */
interface RefusalSample {
  readonly counts: readonly RefusalCount[];
  readonly readAtMs: number;
}

/** Time between two reads of the same backend server or entry. */
const READ_INTERVAL_MS = 5_000;
/** Maximum number of backend servers read in one round. */
const MAX_SERVERS_PER_ROUND = 64;
/** Time for which refused requests count towards the demand. */
const REFUSAL_WINDOW_MS = 30_000;
const CONNECT_TIMEOUT_MS = 1_000;
const REPORT_TIMEOUT_MS = 1_000;

/** Caches the latest reports. If a server or entry doesn't respond, its previous report is kept. */
export class ServerLoadCollector {
  private readonly options: ServerLoadCollectorOptions;
  private readonly engine = new EngineClient({
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    reportTimeoutMs: REPORT_TIMEOUT_MS,
  });
  private readonly requestedAtMs = new Map<string, number>();
  private readonly loads = new Map<string, ServerLoad>();
  private readonly refusalSamples = new Map<string, readonly RefusalSample[]>();

  constructor(options: ServerLoadCollectorOptions) {
    this.options = options;
  }

  /**
   * Reads the backend servers and entries that are due; a failed read is retried after the normal interval.
   * @param servers - Live backend servers.
   * @param entries - Instances that run an entry.
   * @param nowMs - Current Unix time in milliseconds.
   */
  async collect(
    servers: readonly Instance[],
    entries: readonly Instance[],
    nowMs: number,
  ): Promise<void> {
    this.engine.closeRemovedServers(servers.map(toBackendServer));
    this.removeMissing([...servers, ...entries]);
    const dueServers = servers
      .filter(one => this.isDue(one, nowMs))
      .slice(0, MAX_SERVERS_PER_ROUND);
    const dueEntries = entries.filter(one => this.isDue(one, nowMs));
    for (const {instanceId} of [...dueServers, ...dueEntries]) {
      this.requestedAtMs.set(instanceId, nowMs);
    }
    await Promise.all([
      ...dueServers.map(server => this.countFailure(() => this.readLoad(server, nowMs))),
      ...dueEntries.map(entry => this.countFailure(() => this.readRefusals(entry, nowMs))),
    ]);
  }

  /**
   * Returns the load reports that haven't expired.
   * @param nowMs - Current Unix time in milliseconds.
   */
  getLoads(nowMs: number): readonly ServerLoad[] {
    return [...this.loads.values()].filter(({readAtMs}) => nowMs < readAtMs + LOAD_REPORT_TTL_MS);
  }

  /**
   * Returns the number of recently refused requests of a service; refusals without a service name count for all.
   * Decreases of a counter are ignored: a restarted entry counts from 0.
   * @param service - Name of the service.
   * @param nowMs - Current Unix time in milliseconds.
   */
  countRefused(service: string, nowMs: number): number {
    return [...this.refusalSamples.values()].reduce((sum, samples) => {
      const recent = samples.filter(({readAtMs}) => readAtMs > nowMs - REFUSAL_WINDOW_MS);
      const totals = recent.map(({counts}) => sumRefusals(counts, service));
      const increases = totals.slice(1).map((total, index) => Math.max(total - totals[index], 0));
      return sum + increases.reduce((all, one) => all + one, 0);
    }, 0);
  }

  /** Discards all reports; called when this daemon gains or loses the lease. */
  clear(): void {
    for (const reports of [this.requestedAtMs, this.loads, this.refusalSamples]) reports.clear();
  }

  /** Closes the connections to the backend servers. */
  async close(): Promise<void> {
    await this.engine.close();
  }

  private isDue({instanceId}: Instance, nowMs: number): boolean {
    return nowMs >= (this.requestedAtMs.get(instanceId) ?? -Infinity) + READ_INTERVAL_MS;
  }

  private removeMissing(instances: readonly Instance[]): void {
    const presentIds = new Set(instances.map(({instanceId}) => instanceId));
    for (const reports of [this.requestedAtMs, this.loads, this.refusalSamples]) {
      for (const id of reports.keys()) if (!presentIds.has(id)) reports.delete(id);
    }
  }

  private async readLoad(server: Instance, nowMs: number): Promise<void> {
    const {load} = await this.engine.getReport(toBackendServer(server));
    const openRequests = load.runningRequests + load.queuedRequests;
    const {instanceId} = server;
    this.loads.set(instanceId, {instanceId, openRequests, readAtMs: nowMs});
  }

  private async readRefusals(entry: Instance, nowMs: number): Promise<void> {
    const counts = await this.options.refusalsClient.getRefusals(entry);
    const previous = this.refusalSamples.get(entry.instanceId) ?? [];
    const recent = previous.filter(({readAtMs}) => readAtMs > nowMs - REFUSAL_WINDOW_MS);
    this.refusalSamples.set(entry.instanceId, [...recent, {counts, readAtMs: nowMs}]);
  }

  /** Runs a read; a failure is counted, and the previous report stays. */
  private async countFailure(read: () => Promise<void>): Promise<void> {
    try {
      await read();
    } catch {
      this.options.metrics.addCount('load.failed');
    }
  }
}

function sumRefusals(counts: readonly RefusalCount[], service: string): number {
  return counts
    .filter(one => one.service === undefined || one.service === service)
    .reduce((sum, {count}) => sum + count, 0);
}

/** Adds the fields that `EngineClient` requires of a backend server. */
function toBackendServer(instance: Instance) {
  const {service = '', version = ''} = instance;
  return {...instance, service, version, warmth: 'warm' as const};
}
