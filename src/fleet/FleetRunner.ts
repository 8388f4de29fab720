/** The lease holder's control loop: reads platform and entries, then runs moves, capacity and snapshots. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Instance, Move} from '../blackboard/index.js';
import {isMoveEnded} from '../folds/index.js';
import type {Configuration} from '../configuration/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import type {CapacityDemand, CapacityRunner} from './CapacityRunner.js';
import type {ConfigurationStream} from './ConfigurationStream.js';
import type {EvidenceCollector} from './EvidenceCollector.js';
import type {FleetClock} from './FleetClock.js';
import type {FleetStream} from './FleetStream.js';
import type {LeaseManager} from './LeaseManager.js';
import type {ServerLoadCollector} from './ServerLoadCollector.js';
import type {WeightLoadRunner} from './WeightLoadRunner.js';
import type {MoveRunner, ServiceReadiness} from './MoveRunner.js';
import type {PlatformWatcher} from './PlatformWatcher.js';
import type {ReplicaPlanner} from './ReplicaPlanner.js';
import type {SnapshotRunner} from './SnapshotRunner.js';
import type {DrainedInstanceStopper} from './DrainedInstanceStopper.js';

/** Components that a `FleetRunner` calls in each round. */
export interface FleetRunnerParts {
  readonly stream: FleetStream;
  readonly configuration: ConfigurationStream;
  readonly lease: LeaseManager;
  readonly clock: FleetClock;
  readonly watcher: PlatformWatcher;
  readonly evidenceCollector: EvidenceCollector;
  readonly moveRunner: MoveRunner;
  readonly capacityRunner: CapacityRunner;
  readonly weightLoadRunner: WeightLoadRunner;
  readonly serverLoadCollector: ServerLoadCollector;
  readonly replicaPlanner: ReplicaPlanner;
  readonly stopper: DrainedInstanceStopper;
  readonly snapshotRunner: SnapshotRunner;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

const ROUND_INTERVAL_MS = 1_000;
/** Interval at which the evidence is read while no move is running; it then only affects the number of backend servers. */
const EVIDENCE_INTERVAL_MS = 5_000;
const FULL_PERCENT = 100;

/** Runs a round every second, but changes the fleet only if this daemon is the latest known lease holder. */
export class FleetRunner {
  private readonly parts: FleetRunnerParts;
  private readonly stopping = new AbortController();
  private running: Promise<void> | undefined;
  private wasHolder = false;
  private evidenceReadAtMs = -Infinity;
  private lastFailure = '';

  constructor(parts: FleetRunnerParts) {
    this.parts = parts;
  }

  /** Starts the control loop. */
  start(): void {
    this.running ??= this.run();
  }

  /** Stops the control loop and waits until the current round has finished, so that no order is in flight. */
  async stop(): Promise<void> {
    this.stopping.abort();
    await this.running;
  }

  private async run(): Promise<void> {
    const {signal} = this.stopping;
    while (!signal.aborted) {
      await this.runOnce().catch((error: unknown) => this.reportFailure(error));
      await sleep(ROUND_INTERVAL_MS, undefined, {signal}).catch(() => undefined);
    }
  }

  private async runOnce(): Promise<void> {
    const {lease, configuration, clock, watcher} = this.parts;
    const isHolder = lease.isLatestKnownHolder();
    if (isHolder !== this.wasHolder) this.handleHolderChange(isHolder);
    const current = configuration.getConfiguration();
    if (!isHolder) await watcher.refreshAsCandidate(clock.getWallMs());
    // Runs first, so that retention doesn't delete the state of the stream when a round fails or has no configuration.
    if (lease.isHeld()) await this.parts.snapshotRunner.run(clock.getWallMs());
    if (!isHolder || !current) return;
    await watcher.refresh(clock.getWallMs());
    await this.collectReports();
    if (lease.isHeld()) await this.runMoves();
    this.updateReplicas(current);
    await this.runCapacity(current);
  }

  /** The next round retries. A failure with the same message as the previous one is counted but not logged. */
  private reportFailure(error: unknown): void {
    const message = error instanceof Error ? error.message : String(error);
    this.parts.metrics.addCount('fleet.round-failed');
    if (message === this.lastFailure) return;
    this.lastFailure = message;
    this.parts.logger.error({error: message}, 'fleet control round failed');
  }

  /** A new holder has no record of its predecessor's weight loads, and assumes that listed instances are loaded. */
  private handleHolderChange(isHolder: boolean): void {
    this.wasHolder = isHolder;
    this.parts.evidenceCollector.clear();
    this.parts.weightLoadRunner.reset();
    this.parts.serverLoadCollector.clear();
    this.parts.replicaPlanner.reset();
  }

  private async collectReports(): Promise<void> {
    const {clock, watcher, serverLoadCollector, evidenceCollector} = this.parts;
    const nowMs = clock.getWallMs();
    const entries = watcher.getEntries();
    const isEvidenceDue =
      this.getRunningMoves().length > 0 || nowMs >= this.evidenceReadAtMs + EVIDENCE_INTERVAL_MS;
    if (isEvidenceDue) this.evidenceReadAtMs = nowMs;
    await Promise.all([
      serverLoadCollector.collect(this.getServingInstances(), entries, nowMs),
      isEvidenceDue && evidenceCollector.collect(entries, nowMs),
    ]);
  }

  private updateReplicas(configuration: Configuration): void {
    const {stream, clock, watcher, evidenceCollector, capacityRunner, replicaPlanner} = this.parts;
    if (!watcher.getBackendServers()) return;
    const nowMs = clock.getWallMs();
    const servers = this.getServingInstances();
    const moves = stream.getFold().getMoves();
    const observed = {
      configuration,
      servers,
      moves,
      evidence: evidenceCollector.getEvidence(nowMs),
    };
    replicaPlanner.update({...observed, ...capacityRunner.getSupply(configuration, nowMs)}, nowMs);
  }

  /** Returns the live backend servers that aren't draining. */
  private getServingInstances(): readonly Instance[] {
    const {stream, watcher} = this.parts;
    const drains = new Set(
      stream
        .getFold()
        .getDrains()
        .map(({instanceId}) => instanceId),
    );
    const instances = watcher.getBackendServers() ?? [];
    return instances.filter(one => one.state === 'live' && !drains.has(one.instanceId));
  }

  private getRunningMoves(): readonly Move[] {
    const moves = this.parts.stream.getFold().getMoves();
    return moves.filter(move => !isMoveEnded(move));
  }

  private async runMoves(): Promise<void> {
    const {clock, evidenceCollector, moveRunner} = this.parts;
    const nowMs = clock.getWallMs();
    const readiness = this.getRunningMoves().map(move => this.getServiceReadiness(move));
    await moveRunner.run(evidenceCollector.getEvidence(nowMs), readiness, nowMs);
  }

  private async runCapacity(configuration: Configuration): Promise<void> {
    const {clock, capacityRunner, weightLoadRunner, stopper, watcher, lease} = this.parts;
    const demand: CapacityDemand = {
      configuration,
      revision: this.parts.configuration.getRevision(),
      getWantedSharePercent: service => this.parts.moveRunner.getWantedSharePercent(service),
      getPlannedService: service => this.parts.replicaPlanner.getPlannedService(service),
      isReady: instanceId => weightLoadRunner.isLoaded(instanceId),
    };
    await capacityRunner.run(demand, clock.getWallMs());
    const instances = watcher.getBackendServers();
    if (!lease.isHeld() || !instances) return;
    await weightLoadRunner.run(instances, capacityRunner.getNeeds(demand));
    const drains = this.parts.stream.getFold().getDrains();
    await stopper.run(drains, instances, clock.getWallMs());
  }

  /** Returns the share of a service's load that the new version's loaded, available servers sustain. */
  private getServiceReadiness({service, toVersion}: Move): ServiceReadiness {
    const {watcher, weightLoadRunner, configuration, replicaPlanner} = this.parts;
    const services = configuration.getConfiguration()?.services ?? [];
    const configured = services.find(({name}) => name === service);
    const target = configured ? replicaPlanner.getPlannedService(configured).targetReplicas : 0;
    const instances = (watcher.getBackendServers() ?? []).filter(one =>
      this.isInAvailableDomain(one),
    );
    const ready = weightLoadRunner.countReady(instances, service, toVersion);
    if (target === 0) return {service, readyPercent: ready > 0 ? FULL_PERCENT : 0};
    return {service, readyPercent: Math.min((ready * FULL_PERCENT) / target, FULL_PERCENT)};
  }

  private isInAvailableDomain({failureDomain}: Instance): boolean {
    const statuses = this.parts.stream.getFold().getFailureDomains();
    return !statuses.some(({name, state}) => name === failureDomain && state === 'out');
  }
}
