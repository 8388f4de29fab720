/** Collects for the holder what backend servers report about their load, and how many requests entries refused. */
import type {Instance} from '../blackboard/index.js';
import {LOAD_KEPT_MS, type ServerLoad} from '../controllers/capacity/index.js';
import {EngineClient} from '../engine/index.js';
import type {Metrics} from '../metrics/index.js';
import type {RefusalCount, RefusalsClient} from '../infrastructure/index.js';

/** Options of a `LoadCollector`. */
export interface LoadCollectorOptions {
  readonly refusals: RefusalsClient;
  readonly metrics: Metrics;
}

interface RefusalWindow {
  readonly counts: readonly RefusalCount[];
  readonly atMs: number;
}

/** A server or entry is asked this often. */
const ASK_EVERY_MS = 5_000;
/** Servers that are asked in one round. */
const MAX_ASKED = 64;
/** Refusals count for this long. */
const REFUSALS_KEPT_MS = 30_000;
const CONNECT_TIMEOUT_MS = 1_000;
const REPORT_TIMEOUT_MS = 1_000;

/** Keeps the last reports; who doesn't answer keeps what it reported last. */
export class LoadCollector {
  private readonly options: LoadCollectorOptions;
  private readonly engine = new EngineClient({
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    reportTimeoutMs: REPORT_TIMEOUT_MS,
  });
  private readonly askedAtMs = new Map<string, number>();
  private readonly loads = new Map<string, ServerLoad>();
  private readonly windows = new Map<string, readonly RefusalWindow[]>();

  constructor(options: LoadCollectorOptions) {
    this.options = options;
  }

  /**
   * Asks those whose last report is old.
   * @param servers - Live backend servers.
   * @param entries - Instances of entries.
   * @param nowMs - Present time by the wall clock.
   */
  async collect(
    servers: readonly Instance[],
    entries: readonly Instance[],
    nowMs: number,
  ): Promise<void> {
    this.engine.keepOnly(servers.map(toBackendServer));
    this.forgetMissing([...servers, ...entries]);
    const dueServers = servers.filter(one => this.isDue(one, nowMs)).slice(0, MAX_ASKED);
    const dueEntries = entries.filter(one => this.isDue(one, nowMs));
    for (const {instanceId} of [...dueServers, ...dueEntries]) {
      this.askedAtMs.set(instanceId, nowMs);
    }
    await Promise.all([
      ...dueServers.map(server => this.guard(() => this.readLoad(server, nowMs))),
      ...dueEntries.map(entry => this.guard(() => this.readRefusals(entry, nowMs))),
    ]);
  }

  /**
   * Returns the reports that still say something.
   * @param nowMs - Present time by the wall clock.
   */
  getLoads(nowMs: number): readonly ServerLoad[] {
    return [...this.loads.values()].filter(({readAtMs}) => nowMs < readAtMs + LOAD_KEPT_MS);
  }

  /**
   * Returns how many requests were refused lately; refusals of which the service isn't said count for each.
   * @param service - The service.
   * @param nowMs - Present time by the wall clock.
   */
  countRefused(service: string, nowMs: number): number {
    return [...this.windows.values()].reduce((sum, windows) => {
      const kept = windows.filter(({atMs}) => atMs > nowMs - REFUSALS_KEPT_MS);
      const totals = kept.map(({counts}) => countFor(counts, service));
      const grown = totals.slice(1).map((total, index) => Math.max(total - totals[index], 0));
      return sum + grown.reduce((all, one) => all + one, 0);
    }, 0);
  }

  /** Forgets all, as a daemon does that is no longer the holder. */
  clear(): void {
    for (const kept of [this.askedAtMs, this.loads, this.windows]) kept.clear();
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.engine.close();
  }

  private isDue({instanceId}: Instance, nowMs: number): boolean {
    return nowMs >= (this.askedAtMs.get(instanceId) ?? -Infinity) + ASK_EVERY_MS;
  }

  private forgetMissing(instances: readonly Instance[]): void {
    const known = new Set(instances.map(({instanceId}) => instanceId));
    for (const kept of [this.askedAtMs, this.loads, this.windows]) {
      for (const instanceId of kept.keys()) if (!known.has(instanceId)) kept.delete(instanceId);
    }
  }

  private async readLoad(server: Instance, nowMs: number): Promise<void> {
    const {load} = await this.engine.getReport(toBackendServer(server));
    const openRequests = load.runningRequests + load.queuedRequests;
    const {instanceId} = server;
    this.loads.set(instanceId, {instanceId, openRequests, readAtMs: nowMs});
  }

  private async readRefusals(entry: Instance, nowMs: number): Promise<void> {
    const counts = await this.options.refusals.getRefusals(entry);
    const known = this.windows.get(entry.instanceId) ?? [];
    const kept = known.filter(({atMs}) => atMs > nowMs - REFUSALS_KEPT_MS);
    this.windows.set(entry.instanceId, [...kept, {counts, atMs: nowMs}]);
  }

  private async guard(read: () => Promise<void>): Promise<void> {
    try {
      await read();
    } catch {
      this.options.metrics.addCount('load.failed');
    }
  }
}

function countFor(counts: readonly RefusalCount[], service: string): number {
  return counts
    .filter(one => one.service === undefined || one.service === service)
    .reduce((sum, {count}) => sum + count, 0);
}

function toBackendServer(instance: Instance) {
  const {service = '', version = ''} = instance;
  return {...instance, service, version, warmth: 'warm' as const};
}
