/** Watches the platform: instances, prices, reclaims and refused starts. */
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

/** Options of a `PlatformWatch`. */
export interface PlatformWatchOptions {
  readonly cloud: CloudClient;
  readonly list: InstanceListClient;
  readonly metrics: Metrics;
}

const PRICES_KEPT_MS = 30_000;
/** A candidate looks at the instances this often, so that it knows their reclaims when it becomes the holder. */
const CANDIDATE_LOOK_EVERY_MS = 10_000;

/** Keeps the last answers of the platform, which may be out for a while. */
export class PlatformWatch {
  private readonly options: PlatformWatchOptions;
  private reclaims: readonly ReclaimRecord[] = [];
  private readonly refusedStarts = new Map<string, RefusedStart>();
  private instances: readonly Instance[] = [];
  private entries: readonly Instance[] = [];
  private prices: readonly Price[] = [];
  private pricesReadAtMs = -Infinity;
  private readAtMs: number | undefined;
  private askedAtMs = -Infinity;

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

  /**
   * Reads the instances alone, now and then, as a candidate does that isn't the holder.
   * @param nowMs - Present time by the wall clock.
   */
  async refreshAsCandidate(nowMs: number): Promise<void> {
    if (nowMs < this.askedAtMs + CANDIDATE_LOOK_EVERY_MS) return;
    await this.guard('cloud', () => this.readInstances(nowMs));
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

  /**
   * Returns the reclaims of the last hours by failure domain and machine class.
   * @param nowMs - Present time by the wall clock.
   */
  getReclaims(nowMs: number): readonly ReclaimHistory[] {
    return getReclaimHistory(this.reclaims, nowMs);
  }

  /** Returns the starts that were refused since one succeeded. */
  getRefusedStarts(): readonly RefusedStart[] {
    return [...this.refusedStarts.values()];
  }

  /**
   * Notes how a start ended. The starts of one round are sent at once, so their refusals count as one.
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
    const before = this.refusedStarts.get(key);
    const isSameRound = before?.lastAtMs === nowMs;
    const refusals = (before?.refusals ?? 0) + (isSameRound ? 0 : 1);
    const refused = {failureDomain, machineClass, market, refusals, lastAtMs: nowMs};
    this.refusedStarts.set(key, refused);
  }

  private async readEntries(): Promise<void> {
    const {instances} = await this.options.list.getInstances();
    this.entries = instances.filter(({role, state}) => role === 'entry' && state !== 'gone');
  }

  private async readInstances(nowMs: number): Promise<void> {
    this.askedAtMs = nowMs;
    const all = await this.options.cloud.getInstances();
    const instances = all.filter(({role}) => role === 'backend');
    this.reclaims = updateReclaimRecords(this.reclaims, instances, nowMs);
    this.instances = instances;
    this.readAtMs = nowMs;
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
