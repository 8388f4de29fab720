/** Schedules weight loads onto new backend servers, within the limit on concurrent loads. */
import type {Instance} from '../blackboard/index.js';
import {decideLoads, type ReadyCount, type VersionNeed} from '../controllers/capacity/index.js';
import type {Metrics} from '../metrics/index.js';
import type {WeightStoreClient} from '../infrastructure/index.js';
import type {LeaseManager} from './LeaseManager.js';

/** Collaborators of a `WeightLoadRunner`. */
export interface WeightLoadRunnerOptions {
  readonly lease: LeaseManager;
  readonly weightStore: WeightStoreClient;
  readonly metrics: Metrics;
}

/** Starts loads at the weight store and tracks which backend servers have loaded their weights. */
export class WeightLoadRunner {
  private readonly options: WeightLoadRunnerOptions;
  private readonly loadIds = new Map<string, string>();
  private readonly loaded = new Set<string>();
  private hasAdoptedInstances = false;

  constructor(options: WeightLoadRunnerOptions) {
    this.options = options;
  }

  /** Discards all loads at a change of the lease holder; the next run assumes that every listed instance is loaded. */
  reset(): void {
    this.loadIds.clear();
    this.loaded.clear();
    this.hasAdoptedInstances = false;
  }

  /**
   * Returns how many backend servers of a version are live and loaded.
   * @param instances - Backend servers from the cloud API's list.
   */
  countReady(instances: readonly Instance[], service: string, version: string): number {
    return instances.filter(
      one =>
        one.state === 'live' &&
        one.service === service &&
        one.version === version &&
        this.isLoaded(one.instanceId),
    ).length;
  }

  /** Returns whether a backend server has loaded its weights. */
  isLoaded(instanceId: string): boolean {
    return this.loaded.has(instanceId);
  }

  /**
   * Records completed loads and starts the next ones.
   * @param instances - Backend servers from the cloud API's list.
   * @param needs - Number of backend servers that each version requires.
   */
  async run(instances: readonly Instance[], needs: readonly VersionNeed[]): Promise<void> {
    if (!this.hasAdoptedInstances) this.adoptInstances(instances);
    await this.recordCompletedLoads();
    const waiting = instances.flatMap(({instanceId, state, service = '', version = ''}) =>
      state === 'live' && !this.isLoadedOrLoading(instanceId)
        ? [{instanceId, service, version}]
        : [],
    );
    const ready = needs.map(({service, version}): ReadyCount => ({
      service,
      version,
      count: this.countReady(instances, service, version),
    }));
    const runningLoads = this.loadIds.size;
    for (const {instanceId, version} of decideLoads({waiting, needs, ready, runningLoads})) {
      await this.startLoad(instanceId, version);
    }
  }

  private adoptInstances(instances: readonly Instance[]): void {
    this.hasAdoptedInstances = true;
    for (const {instanceId} of instances) this.loaded.add(instanceId);
  }

  private isLoadedOrLoading(instanceId: string): boolean {
    return this.loaded.has(instanceId) || this.loadIds.has(instanceId);
  }

  /** The weight store accepts a fencing token, but isn't known to reject outdated ones. */
  private async startLoad(instanceId: string, version: string): Promise<void> {
    const {lease, weightStore, metrics} = this.options;
    if (lease.getOrderPermission(false) !== 'allowed') return;
    const fencingToken = lease.getFencingToken();
    try {
      const loadId = await weightStore.startLoad({instanceId, version, fencingToken});
      this.loadIds.set(instanceId, loadId);
      metrics.addCount('weights.load', {result: 'started'});
    } catch {
      metrics.addCount('weights.load', {result: 'failed'});
    }
  }

  private async recordCompletedLoads(): Promise<void> {
    for (const [instanceId, loadId] of this.loadIds) {
      try {
        if ((await this.options.weightStore.getLoadState(loadId)) !== 'done') continue;
        this.loadIds.delete(instanceId);
        this.loaded.add(instanceId);
      } catch {
        this.options.metrics.addCount('weights.load', {result: 'unknown'});
      }
    }
  }
}
