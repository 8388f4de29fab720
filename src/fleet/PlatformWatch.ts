/** Watches the platform: instances, prices, reclaims and refused starts. */
import type {Instance} from '../blackboard/index.js';
import type {Price, ReclaimHistory, RefusedStart} from '../controllers/capacity/index.js';
import type {Metrics} from '../metrics/index.js';
import type {CloudClient, InstanceListClient} from '../platform/index.js';

/** Options of a `PlatformWatch`. */
export interface PlatformWatchOptions {
  readonly cloud: CloudClient;
  readonly list: InstanceListClient;
  readonly metrics: Metrics;
}

interface PoolHistory extends ReclaimHistory {
  readonly key: string;
}

const MS_PER_HOUR = 3_600_000;
const PRICES_KEPT_MS = 30_000;

/** Keeps the last answers of the platform, which may be out for a while. */
export class PlatformWatch {
  private readonly options: PlatformWatchOptions;
  private readonly pools = new Map<string, PoolHistory>();
  private readonly refusedStarts = new Map<string, RefusedStart>();
  private instances: readonly Instance[] = [];
  private entries: readonly Instance[] = [];
  private prices: readonly Price[] = [];
  private pricesReadAtMs = -Infinity;
  private readAtMs: number | undefined;

  constructor(options: PlatformWatchOptions) {
    this.options = options;
  }

  /**
   * Reads the platform.
   * @param nowMs - Present time by the wall clock.
   */
  async refresh(nowMs: number): Promise<void> {
    await Promise.all([
      this.guard('list', () => this.readEntries()),
      this.guard('cloud', () => this.readInstances(nowMs)),
      this.guard('prices', () => this.readPrices(nowMs)),
    ]);
  }

  /** Returns the backend servers as the cloud knows them, those that are gone included; undefined before the first answer. */
  getBackendServers(): readonly Instance[] | undefined {
    return this.readAtMs === undefined ? undefined : this.instances;
  }

  /** Returns the live and leaving entries. */
  getEntries(): readonly Instance[] {
    return this.entries;
  }

  /** Returns the last prices. */
  getPrices(): readonly Price[] {
    return this.prices;
  }

  /** Returns the reclaims seen by failure domain and machine class. */
  getReclaims(): readonly ReclaimHistory[] {
    return [...this.pools.values()];
  }

  /** Returns the starts that were refused since one succeeded. */
  getRefusedStarts(): readonly RefusedStart[] {
    return [...this.refusedStarts.values()];
  }

  /**
   * Notes how a start ended.
   * @param offer - Failure domain, machine class and market.
   * @param isRefused - Whether the cloud refused it.
   * @param nowMs - Present time by the wall clock.
   */
  noteStart(offer: Omit<Price, 'priceUsdPerHour'>, isRefused: boolean, nowMs: number): void {
    const {failureDomain, machineClass, market} = offer;
    const key = `${failureDomain} ${machineClass} ${market}`;
    if (!isRefused) {
      this.refusedStarts.delete(key);
      return;
    }
    const refusals = (this.refusedStarts.get(key)?.refusals ?? 0) + 1;
    const refused = {failureDomain, machineClass, market, refusals, lastAtMs: nowMs};
    this.refusedStarts.set(key, refused);
  }

  private async readEntries(): Promise<void> {
    const {instances} = await this.options.list.getInstances();
    this.entries = instances.filter(({role, state}) => role === 'entry' && state !== 'gone');
  }

  private async readInstances(nowMs: number): Promise<void> {
    const all = await this.options.cloud.getInstances();
    const instances = all.filter(({role}) => role === 'backend');
    const sinceMs = nowMs - (this.readAtMs ?? nowMs);
    for (const instance of instances) this.noteInstance(instance, sinceMs);
    this.instances = instances;
    this.readAtMs = nowMs;
  }

  /** A reclaimable instance that turns from live to leaving counts as a reclaim; our own stops don't pass through that state. */
  private noteInstance(instance: Instance, sinceMs: number): void {
    if (instance.market !== 'reclaimable' || instance.state === 'gone') return;
    const {failureDomain, machineClass} = instance;
    const key = `${failureDomain} ${machineClass}`;
    const before = this.instances.find(one => one.instanceId === instance.instanceId);
    const isReclaimed = before?.state === 'live' && instance.state === 'leaving';
    const known = this.pools.get(key);
    this.pools.set(key, {
      key,
      failureDomain,
      machineClass,
      reclaims: (known?.reclaims ?? 0) + (isReclaimed ? 1 : 0),
      instanceHours: (known?.instanceHours ?? 0) + sinceMs / MS_PER_HOUR,
    });
  }

  private async readPrices(nowMs: number): Promise<void> {
    if (nowMs < this.pricesReadAtMs + PRICES_KEPT_MS) return;
    this.prices = await this.options.cloud.getPrices();
    this.pricesReadAtMs = nowMs;
  }

  private async guard(what: string, read: () => Promise<void>): Promise<void> {
    try {
      await read();
    } catch {
      this.options.metrics.addCount('platform.failed', {what});
    }
  }
}
