/** Carries out capacity decisions: starts missing backend servers and drains surplus ones. */
import type {Configuration, Service} from '../configuration/index.js';
import {
  decideCapacity,
  getClientToken,
  getOffers,
  getRetiredVersions,
  getVersionNeeds,
  type CapacityEffect,
  type CapacityView,
  type Offer,
  type VersionNeed,
} from '../controllers/capacity/index.js';
import {decideFailureDomains} from '../controllers/failureDomains/index.js';
import {ServingError} from '../errors/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import type {CloudClient} from '../infrastructure/index.js';
import type {FleetStream} from './FleetStream.js';
import type {LeaseManager} from './LeaseManager.js';
import type {PlatformWatcher} from './PlatformWatcher.js';
import {PendingStartTracker} from './PendingStartTracker.js';

/** Collaborators of a `CapacityRunner`. */
export interface CapacityRunnerOptions {
  readonly stream: FleetStream;
  readonly lease: LeaseManager;
  readonly cloud: CloudClient;
  readonly watcher: PlatformWatcher;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Inputs from which the required backend servers of each version are calculated. */
export interface CapacityDemand {
  readonly configuration: Configuration;
  /** Revision of `configuration`. */
  readonly revision: number;
  /** Returns the traffic share, in percent, for which the move of a service needs capacity next; 0 without a move. */
  readonly getWantedSharePercent: (service: string) => number;
  /** Returns a copy of a service whose `targetReplicas` is the currently planned number of backend servers. */
  readonly getPlannedService: (service: Service) => Service;
  /** Returns whether a backend server has loaded its weights. */
  readonly isReady: (instanceId: string) => boolean;
}

/** Offers within the price limits, and the failure domains in which instances may be started. */
export interface CapacitySupply {
  readonly offers: readonly Offer[];
  /** Names of the failure domains. */
  readonly availableDomains: readonly string[];
}

type StartEffect = Extract<CapacityEffect, {kind: 'start-instance'}>;
type DrainEffect = Extract<CapacityEffect, {kind: 'drain-instance'}>;

/** Time within which the streams of a draining backend server must end or move to another one. */
const DRAIN_TIMEOUT_MS = 60_000;
/** Maximum number of start requests sent in one round. */
const MAX_STARTS_PER_ROUND = 4;

/** Applies capacity decisions. The latest known lease holder keeps starting instances while the log is unavailable. */
export class CapacityRunner {
  private readonly options: CapacityRunnerOptions;
  private readonly starts = new PendingStartTracker();

  constructor(options: CapacityRunnerOptions) {
    this.options = options;
  }

  /** Returns the number of backend servers that each version of each service requires. */
  getNeeds(demand: CapacityDemand): readonly VersionNeed[] {
    const {configuration, getWantedSharePercent, getPlannedService} = demand;
    const moves = this.options.stream.getFold().getMoves();
    return configuration.services.flatMap(service =>
      getVersionNeeds(getPlannedService(service), moves, getWantedSharePercent(service.name)),
    );
  }

  /**
   * Returns the offers within the price limits, and the failure domains in which instances may be started.
   * @param configuration - Source of the failure domains and the price limits.
   * @param nowMs - Current Unix time in milliseconds.
   */
  getSupply(configuration: Configuration, nowMs: number): CapacitySupply {
    const statuses = this.options.stream.getFold().getFailureDomains();
    const {closedDomains} = decideFailureDomains({statuses}, nowMs).changes;
    const domains = configuration.failureDomains.map(({name}) => name);
    return {
      offers: this.getOffers(configuration, nowMs),
      availableDomains: domains.filter(name => !closedDomains.includes(name)),
    };
  }

  /**
   * Runs one round of capacity decisions; does nothing until the cloud API has listed the instances once.
   * @param demand - Inputs from which the required backend servers are calculated.
   * @param nowMs - Current Unix time in milliseconds.
   */
  async run(demand: CapacityDemand, nowMs: number): Promise<void> {
    const view = this.getView(demand, nowMs);
    if (!view) return;
    const {effects} = decideCapacity(view);
    const starts = effects
      .filter(effect => effect.kind === 'start-instance')
      .slice(0, MAX_STARTS_PER_ROUND);
    await Promise.all(starts.map(effect => this.startInstance(effect, nowMs)));
    for (const effect of effects) {
      if (effect.kind === 'drain-instance') await this.drainInstance(effect, nowMs);
    }
  }

  private getView(demand: CapacityDemand, nowMs: number): CapacityView | undefined {
    const {watcher, stream} = this.options;
    const instances = watcher.getBackendServers();
    if (!instances) return undefined;
    this.starts.reconcile(instances, nowMs);
    const {configuration, revision} = demand;
    return {
      ...this.getSupply(configuration, nowMs),
      needs: this.getNeeds(demand),
      instances,
      pendingInstances: this.starts.getPendingInstances(),
      drainingIds: stream
        .getFold()
        .getDrains()
        .map(({instanceId}) => instanceId),
      loadingIds: instances.map(({instanceId}) => instanceId).filter(id => !demand.isReady(id)),
      revision,
      filledSlots: this.starts.getOccupiedSlots(),
      generations: this.starts.getGenerations(),
      retiredVersions: getRetiredVersions(stream.getFold().getMoves()),
    };
  }

  private getOffers({priceLimits}: Configuration, nowMs: number) {
    const {watcher} = this.options;
    const prices = watcher.getPrices();
    const reclaims = watcher.getReclaims(nowMs);
    const refusedStarts = watcher.getRefusedStarts();
    return getOffers({prices, priceLimits, reclaims, refusedStarts}, nowMs);
  }

  /** The client token makes the start idempotent if another lease holder fills the same vacancy. */
  private async startInstance(effect: StartEffect, nowMs: number): Promise<void> {
    const {lease, cloud, watcher, logger, metrics} = this.options;
    if (!lease.isLatestKnownHolder()) return;
    const {vacancy, failureDomain, machineClass, market} = effect;
    const {service, version} = vacancy;
    const offer = {failureDomain, machineClass, market};
    const clientToken = getClientToken(vacancy);
    try {
      const instanceId = await cloud.startInstance({...offer, service, version, clientToken});
      this.starts.addStart(vacancy, failureDomain, instanceId, nowMs);
      watcher.recordStartResult(offer, false, nowMs);
      logger.info({instanceId, clientToken, ...offer}, 'instance started');
      metrics.addCount('capacity.start', {failureDomain, market, result: 'started'});
    } catch (error) {
      const isRefused = error instanceof ServingError && error.kind === 'conflict';
      if (isRefused) watcher.recordStartResult(offer, true, nowMs);
      const result = isRefused ? 'refused' : 'failed';
      metrics.addCount('capacity.start', {failureDomain, market, result});
    }
  }

  private async drainInstance(effect: DrainEffect, nowMs: number): Promise<void> {
    const {lease, stream, logger, metrics} = this.options;
    if (lease.getOrderPermission(true) !== 'allowed') return;
    const {instanceId, service} = effect;
    const fencingToken = lease.getFencingToken();
    const drain = {instanceId, service, fencingToken, decidedAtMs: nowMs};
    try {
      const body = {kind: 'instance-drain' as const, ...drain, stopAtMs: nowMs + DRAIN_TIMEOUT_MS};
      const {verdict} = await stream.propose('orders', body);
      const result = verdict.rejection ?? 'accepted';
      metrics.addCount('capacity.drain', {result});
      if (verdict.isAccepted) logger.info({instanceId, service}, 'instance drains');
    } catch {
      metrics.addCount('capacity.drain', {result: 'not-read-back'});
    }
  }
}
