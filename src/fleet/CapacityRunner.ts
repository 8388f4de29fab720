/** Runs the decisions about capacity: starts backend servers, and takes those out of use that are too many. */
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
import type {LeaseKeeper} from './LeaseKeeper.js';
import type {PlatformWatch} from './PlatformWatch.js';
import {StartBook} from './StartBook.js';

/** Options of a `CapacityRunner`. */
export interface CapacityRunnerOptions {
  readonly stream: FleetStream;
  readonly lease: LeaseKeeper;
  readonly cloud: CloudClient;
  readonly watch: PlatformWatch;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** What the needs are worked out from. */
export interface CapacityDemand {
  readonly configuration: Configuration;
  readonly revision: number;
  readonly getWantedSharePercent: (service: string) => number;
  /** Returns a service with the number of backend servers that it is to have now. */
  readonly getPlannedService: (service: Service) => Service;
  /** Returns whether a listed backend server has loaded its weights. */
  readonly isReady: (instanceId: string) => boolean;
}

/** What may be started now, and where. */
export interface CapacityMarket {
  readonly offers: readonly Offer[];
  readonly openDomains: readonly string[];
}

type StartEffect = Extract<CapacityEffect, {kind: 'start-instance'}>;
type DrainEffect = Extract<CapacityEffect, {kind: 'drain-instance'}>;

/** Time that a drained backend server has for its streams to end or move. */
const DRAIN_MS = 60_000;
/** Starts that are asked for at a time. */
const MAX_STARTS = 4;

/** Starts instances also while the log is out, where this daemon held the lease last. */
export class CapacityRunner {
  private readonly options: CapacityRunnerOptions;
  private readonly starts = new StartBook();

  constructor(options: CapacityRunnerOptions) {
    this.options = options;
  }

  /**
   * Returns what the versions of all services need.
   * @param demand - Configuration and moves.
   */
  getNeeds(demand: CapacityDemand): readonly VersionNeed[] {
    const {configuration, getWantedSharePercent, getPlannedService} = demand;
    const moves = this.options.stream.getFold().getMoves();
    return configuration.services.flatMap(service =>
      getVersionNeeds(getPlannedService(service), moves, getWantedSharePercent(service.name)),
    );
  }

  /**
   * Returns the offers within the price limits and the failure domains that may be used.
   * @param configuration - The configuration in force.
   * @param nowMs - Present time by the wall clock.
   */
  getMarket(configuration: Configuration, nowMs: number): CapacityMarket {
    const statuses = this.options.stream.getFold().getFailureDomains();
    const {closedDomains} = decideFailureDomains({statuses}, nowMs).changes;
    const domains = configuration.failureDomains.map(({name}) => name);
    return {
      offers: this.getOffers(configuration, nowMs),
      openDomains: domains.filter(name => !closedDomains.includes(name)),
    };
  }

  /**
   * Decides and runs the effects.
   * @param demand - Configuration and moves.
   * @param nowMs - Present time by the wall clock.
   */
  async run(demand: CapacityDemand, nowMs: number): Promise<void> {
    const view = this.getView(demand, nowMs);
    if (!view) return;
    const {effects} = decideCapacity(view);
    const starts = effects.filter(effect => effect.kind === 'start-instance').slice(0, MAX_STARTS);
    await Promise.all(starts.map(effect => this.startInstance(effect, nowMs)));
    for (const effect of effects) {
      if (effect.kind === 'drain-instance') await this.drainInstance(effect, nowMs);
    }
  }

  private getView(demand: CapacityDemand, nowMs: number): CapacityView | undefined {
    const {watch, stream} = this.options;
    const instances = watch.getBackendServers();
    if (!instances) return undefined;
    this.starts.update(instances, nowMs);
    const {configuration, revision} = demand;
    return {
      ...this.getMarket(configuration, nowMs),
      needs: this.getNeeds(demand),
      instances,
      pendingInstances: this.starts.getPendingInstances(),
      drainingIds: stream
        .getFold()
        .getDrains()
        .map(({instanceId}) => instanceId),
      unreadyIds: instances.map(({instanceId}) => instanceId).filter(id => !demand.isReady(id)),
      revision,
      filledSlots: this.starts.getFilledSlots(),
      generations: this.starts.getGenerations(),
      retiredVersions: getRetiredVersions(stream.getFold().getMoves()),
    };
  }

  private getOffers({priceLimits}: Configuration, nowMs: number) {
    const {watch} = this.options;
    const prices = watch.getPrices();
    const reclaims = watch.getReclaims(nowMs);
    const refusedStarts = watch.getRefusedStarts();
    return getOffers({prices, priceLimits, reclaims, refusedStarts}, nowMs);
  }

  /** The client token makes a start harmless where another holder asks for the same vacancy. */
  private async startInstance(effect: StartEffect, nowMs: number): Promise<void> {
    const {lease, cloud, watch, logger, metrics} = this.options;
    if (!lease.isLastHolder()) return;
    const {vacancy, failureDomain, machineClass, market} = effect;
    const {service, version} = vacancy;
    const offer = {failureDomain, machineClass, market};
    const clientToken = getClientToken(vacancy);
    try {
      const instanceId = await cloud.startInstance({...offer, service, version, clientToken});
      this.starts.addStart(vacancy, failureDomain, instanceId, nowMs);
      watch.noteStart(offer, false, nowMs);
      logger.info({instanceId, clientToken, ...offer}, 'instance started');
      metrics.addCount('capacity.start', {failureDomain, market, result: 'started'});
    } catch (error) {
      const isRefused = error instanceof ServingError && error.kind === 'conflict';
      if (isRefused) watch.noteStart(offer, true, nowMs);
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
      const body = {kind: 'instance-drain' as const, ...drain, stopAtMs: nowMs + DRAIN_MS};
      const {verdict} = await stream.propose('orders', body);
      const result = verdict.rejection ?? 'accepted';
      metrics.addCount('capacity.drain', {result});
      if (verdict.isAccepted) logger.info({instanceId, service}, 'instance drains');
    } catch {
      metrics.addCount('capacity.drain', {result: 'not-read-back'});
    }
  }
}
