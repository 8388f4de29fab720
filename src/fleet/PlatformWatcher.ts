/** Polls the platform for instances, entries and prices, and tracks reclaims and refused starts. */
import type {Instance} from '../blackboard/index.js';
import {
  getReclaimHistory,
  updateReclaimRecords,
  type Price,
  type ReclaimHistory,
  type ReclaimRecord,
  type RefusedStart,
} from '../controllers/capacity/index.js';
import type {Metrics} from '../metrics/index.js';
import type {CloudClient, InstanceListClient} from '../infrastructure/index.js';

/** Collaborators of a `PlatformWatcher`. */
export interface PlatformWatcherOptions {
  readonly cloud: CloudClient;
  readonly instanceList: InstanceListClient;
  readonly metrics: Metrics;
}

const PRICE_CACHE_MS = 30_000;
/** Interval at which a candidate reads the instances, so that it has their reclaim history if it gets the lease. */
const CANDIDATE_REFRESH_INTERVAL_MS = 10_000;

/** Caches the latest responses of the platform, whose services may be temporarily unavailable. */
export class PlatformWatcher {
  private readonly options: PlatformWatcherOptions;
  private reclaims: readonly ReclaimRecord[] = [];
  private readonly refusedStarts = new Map<string, RefusedStart>();
  private instances: readonly Instance[] = [];
  private entries: readonly Instance[] = [];
  private prices: readonly Price[] = [];
  private pricesReadAtMs = -Infinity;
  private instancesReadAtMs: number | undefined;
  private instancesRequestedAtMs = -Infinity;

  constructor(options: PlatformWatcherOptions) {
    this.options = options;
  }

  /**
   * Reads entries, instances and, if expired, prices. Failures are counted and leave the cached values unchanged.
   * @param nowMs - Current Unix time in milliseconds.
   */
  async refresh(nowMs: number): Promise<void> {
    await Promise.all([
      this.countFailure('list', () => this.readEntries()),
      this.countFailure('cloud', () => this.readInstances(nowMs)),
      this.countFailure('prices', () => this.readPrices(nowMs)),
    ]);
  }

  /**
   * Reads only the instances, every 10 seconds; called instead of `refresh` by a daemon that isn't the lease holder.
   * @param nowMs - Current Unix time in milliseconds.
   */
  async refreshAsCandidate(nowMs: number): Promise<void> {
    if (nowMs < this.instancesRequestedAtMs + CANDIDATE_REFRESH_INTERVAL_MS) return;
    await this.countFailure('cloud', () => this.readInstances(nowMs));
  }

  /** Returns the backend servers that the cloud lists, including removed ones; undefined before the first response. */
  getBackendServers(): readonly Instance[] | undefined {
    return this.instancesReadAtMs === undefined ? undefined : this.instances;
  }

  /** Returns the instances that run an entry and are live or leaving. */
  getEntries(): readonly Instance[] {
    return this.entries;
  }

  /** Returns the prices of the last successful read; empty before it. */
  getPrices(): readonly Price[] {
    return this.prices;
  }

  /**
   * Returns the reclaims of the last hours, grouped by failure domain and machine class.
   * @param nowMs - Current Unix time in milliseconds.
   */
  getReclaims(nowMs: number): readonly ReclaimHistory[] {
    return getReclaimHistory(this.reclaims, nowMs);
  }

  /** Returns the offers whose starts the cloud has refused since the last successful start. */
  getRefusedStarts(): readonly RefusedStart[] {
    return [...this.refusedStarts.values()];
  }

  /**
   * Records the result of a start. The starts of a round are sent concurrently, so their refusals count as one.
   * @param offer - Failure domain, machine class and market.
   * @param isRefused - Whether the cloud refused the start for lack of capacity.
   * @param nowMs - Current Unix time in milliseconds.
   */
  recordStartResult(
    offer: Omit<Price, 'priceUsdPerHour'>,
    isRefused: boolean,
    nowMs: number,
  ): void {
    const {failureDomain, machineClass, market} = offer;
    const key = `${failureDomain} ${machineClass} ${market}`;
    if (!isRefused) {
      this.refusedStarts.delete(key);
      return;
    }
    const previous = this.refusedStarts.get(key);
    const isSameRound = previous?.lastAtMs === nowMs;
    const refusals = (previous?.refusals ?? 0) + (isSameRound ? 0 : 1);
    const refused = {failureDomain, machineClass, market, refusals, lastAtMs: nowMs};
    this.refusedStarts.set(key, refused);
  }

  private async readEntries(): Promise<void> {
    const {instances} = await this.options.instanceList.getInstances();
    this.entries = instances.filter(({role, state}) => role === 'entry' && state !== 'gone');
  }

  private async readInstances(nowMs: number): Promise<void> {
    this.instancesRequestedAtMs = nowMs;
    const allInstances = await this.options.cloud.getInstances();
    const instances = allInstances.filter(({role}) => role === 'backend');
    this.reclaims = updateReclaimRecords(this.reclaims, instances, nowMs);
    this.instances = instances;
    this.instancesReadAtMs = nowMs;
  }

  private async readPrices(nowMs: number): Promise<void> {
    if (nowMs < this.pricesReadAtMs + PRICE_CACHE_MS) return;
    this.prices = await this.options.cloud.getPrices();
    this.pricesReadAtMs = nowMs;
  }

  /** Runs a read; a failure is counted, and the cached values stay. */
  private async countFailure(what: string, read: () => Promise<void>): Promise<void> {
    try {
      await read();
    } catch {
      this.options.metrics.addCount('platform.failed', {what});
    }
  }
}
