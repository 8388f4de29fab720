/** Runs the queue of weight loads for instances that this holder sees appear. */
import type {Instance} from '../blackboard/index.js';
import {decideLoads, type ReadyCount, type VersionNeed} from '../controllers/capacity/index.js';
import type {Metrics} from '../metrics/index.js';
import type {WeightStoreClient} from '../infrastructure/index.js';
import type {LeaseKeeper} from './LeaseKeeper.js';

/** Options of a `LoadRunner`. */
export interface LoadRunnerOptions {
  readonly lease: LeaseKeeper;
  readonly weights: WeightStoreClient;
  readonly metrics: Metrics;
}

/** Asks the weight store for loads, and counts as ready what is loaded. */
export class LoadRunner {
  private readonly options: LoadRunnerOptions;
  private readonly loadIds = new Map<string, string>();
  private readonly loaded = new Set<string>();
  private hasAdopted = false;

  constructor(options: LoadRunnerOptions) {
    this.options = options;
  }

  /** Forgets all, as at a change of the holder: what the next run finds serving counts as loaded. */
  reset(): void {
    this.loadIds.clear();
    this.loaded.clear();
    this.hasAdopted = false;
  }

  /**
   * Returns how many backend servers of a version are live and loaded.
   * @param instances - Instances as the cloud lists them.
   * @param service - The service.
   * @param version - The version.
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

  /**
   * Returns whether a backend server's weights are loaded.
   * @param instanceId - The backend server.
   */
  isLoaded(instanceId: string): boolean {
    return this.loaded.has(instanceId);
  }

  /**
   * Asks for the next loads and notes those that are done.
   * @param instances - Instances as the cloud lists them.
   * @param needs - What versions need.
   */
  async run(instances: readonly Instance[], needs: readonly VersionNeed[]): Promise<void> {
    if (!this.hasAdopted) this.adoptInstances(instances);
    await this.noteDone();
    const waiting = instances.flatMap(({instanceId, state, service = '', version = ''}) =>
      state === 'live' && !this.isKnown(instanceId) ? [{instanceId, service, version}] : [],
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
    this.hasAdopted = true;
    for (const {instanceId} of instances) this.loaded.add(instanceId);
  }

  private isKnown(instanceId: string): boolean {
    return this.loaded.has(instanceId) || this.loadIds.has(instanceId);
  }

  /** The store takes a fencing token but isn't known to refuse old ones. */
  private async startLoad(instanceId: string, version: string): Promise<void> {
    const {lease, weights, metrics} = this.options;
    if (lease.getOrderPermission(false) !== 'allowed') return;
    const fencingToken = lease.getFencingToken();
    try {
      const loadId = await weights.startLoad({instanceId, version, fencingToken});
      this.loadIds.set(instanceId, loadId);
      metrics.addCount('weights.load', {result: 'started'});
    } catch {
      metrics.addCount('weights.load', {result: 'failed'});
    }
  }

  private async noteDone(): Promise<void> {
    for (const [instanceId, loadId] of this.loadIds) {
      try {
        if ((await this.options.weights.getLoadState(loadId)) !== 'done') continue;
        this.loadIds.delete(instanceId);
        this.loaded.add(instanceId);
      } catch {
        this.options.metrics.addCount('weights.load', {result: 'unknown'});
      }
    }
  }
}
