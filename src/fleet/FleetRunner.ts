/** The holder's loop: observes the platform and the entries, and runs moves, capacity, loads, stops and snapshots. */
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
import type {LeaseKeeper} from './LeaseKeeper.js';
import type {LoadCollector} from './LoadCollector.js';
import type {LoadRunner} from './LoadRunner.js';
import type {MoveRunner, ServiceReadiness} from './MoveRunner.js';
import type {PlatformWatch} from './PlatformWatch.js';
import type {ReplicaKeeper} from './ReplicaKeeper.js';
import type {SnapshotRunner} from './SnapshotRunner.js';
import type {StopRunner} from './StopRunner.js';

/** What a `FleetRunner` runs. */
export interface FleetRunnerParts {
  readonly stream: FleetStream;
  readonly configuration: ConfigurationStream;
  readonly lease: LeaseKeeper;
  readonly clock: FleetClock;
  readonly watch: PlatformWatch;
  readonly evidence: EvidenceCollector;
  readonly moves: MoveRunner;
  readonly capacity: CapacityRunner;
  readonly loads: LoadRunner;
  readonly serverLoads: LoadCollector;
  readonly replicas: ReplicaKeeper;
  readonly stops: StopRunner;
  readonly snapshots: SnapshotRunner;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

const LOOP_MS = 1_000;
/** Without a move, evidence serves the number of backend servers only and is read less often. */
const EVIDENCE_EVERY_MS = 5_000;
const WHOLE_PERCENT = 100;

/** Runs while the daemon lives; it acts only where the daemon is, or was last, the holder. */
export class FleetRunner {
  private readonly parts: FleetRunnerParts;
  private readonly stopping = new AbortController();
  private loop: Promise<void> | undefined;
  private wasHolder = false;
  private evidenceReadAtMs = -Infinity;
  private lastFailure = '';

  constructor(parts: FleetRunnerParts) {
    this.parts = parts;
  }

  /** Starts the loop. */
  start(): void {
    this.loop ??= this.run();
  }

  /** Ends the loop and waits until no order is under way. */
  async stop(): Promise<void> {
    this.stopping.abort();
    await this.loop;
  }

  private async run(): Promise<void> {
    const {signal} = this.stopping;
    while (!signal.aborted) {
      await this.runOnce().catch((error: unknown) => this.noteFailure(error));
      await sleep(LOOP_MS, undefined, {signal}).catch(() => undefined);
    }
  }

  private async runOnce(): Promise<void> {
    const {lease, configuration, clock, watch} = this.parts;
    const isHolder = lease.isLastHolder();
    if (isHolder !== this.wasHolder) this.noteHolder(isHolder);
    const current = configuration.getConfiguration();
    if (!isHolder) await watch.refreshAsCandidate(clock.getWallMs());
    // A round that fails further on, or finds no configuration, must not cost what the stream says.
    if (lease.isHeld()) await this.parts.snapshots.run(clock.getWallMs());
    if (!isHolder || !current) return;
    await watch.refresh(clock.getWallMs());
    await this.collectReports();
    if (lease.isHeld()) await this.runMoves();
    this.updateReplicas(current);
    await this.runCapacity(current);
  }

  /** A failed round is tried again; the line is written for the first of several alike. */
  private noteFailure(error: unknown): void {
    const message = error instanceof Error ? error.message : String(error);
    this.parts.metrics.addCount('fleet.round-failed');
    if (message === this.lastFailure) return;
    this.lastFailure = message;
    this.parts.logger.error({error: message}, 'round of the fleet failed');
  }

  /** A new holder knows of nothing that a former one loaded, and takes what serves as loaded. */
  private noteHolder(isHolder: boolean): void {
    this.wasHolder = isHolder;
    this.parts.evidence.clear();
    this.parts.loads.reset();
    this.parts.serverLoads.clear();
    this.parts.replicas.reset();
  }

  private async collectReports(): Promise<void> {
    const {clock, watch, serverLoads, evidence} = this.parts;
    const nowMs = clock.getWallMs();
    const entries = watch.getEntries();
    const isEvidenceDue =
      this.getRunningMoves().length > 0 || nowMs >= this.evidenceReadAtMs + EVIDENCE_EVERY_MS;
    if (isEvidenceDue) this.evidenceReadAtMs = nowMs;
    await Promise.all([
      serverLoads.collect(this.getServingInstances(), entries, nowMs),
      isEvidenceDue && evidence.collect(entries, nowMs),
    ]);
  }

  private updateReplicas(configuration: Configuration): void {
    const {stream, clock, watch, evidence, capacity, replicas} = this.parts;
    if (!watch.getBackendServers()) return;
    const nowMs = clock.getWallMs();
    const servers = this.getServingInstances();
    const moves = stream.getFold().getMoves();
    const known = {configuration, servers, moves, evidence: evidence.getEvidence(nowMs)};
    replicas.update({...known, ...capacity.getMarket(configuration, nowMs)}, nowMs);
  }

  /** Returns the live backend servers that aren't drained. */
  private getServingInstances(): readonly Instance[] {
    const {stream, watch} = this.parts;
    const drains = new Set(
      stream
        .getFold()
        .getDrains()
        .map(({instanceId}) => instanceId),
    );
    const instances = watch.getBackendServers() ?? [];
    return instances.filter(one => one.state === 'live' && !drains.has(one.instanceId));
  }

  private getRunningMoves(): readonly Move[] {
    const moves = this.parts.stream.getFold().getMoves();
    return moves.filter(move => !isMoveEnded(move));
  }

  private async runMoves(): Promise<void> {
    const {clock, evidence, moves} = this.parts;
    const nowMs = clock.getWallMs();
    const readiness = this.getRunningMoves().map(move => this.getReadiness(move));
    await moves.run(evidence.getEvidence(nowMs), readiness, nowMs);
  }

  private async runCapacity(configuration: Configuration): Promise<void> {
    const {clock, capacity, loads, stops, watch, lease} = this.parts;
    const demand: CapacityDemand = {
      configuration,
      revision: this.parts.configuration.getRevision(),
      getWantedSharePercent: service => this.parts.moves.getWantedSharePercent(service),
      getPlannedService: service => this.parts.replicas.getPlannedService(service),
      isReady: instanceId => loads.isLoaded(instanceId),
    };
    await capacity.run(demand, clock.getWallMs());
    const instances = watch.getBackendServers();
    if (!lease.isHeld() || !instances) return;
    await loads.run(instances, capacity.getNeeds(demand));
    const drains = this.parts.stream.getFold().getDrains();
    await stops.run(drains, instances, clock.getWallMs());
  }

  /** Returns the part of the service's work that the new version's loaded servers in open failure domains bear. */
  private getReadiness({service, toVersion}: Move): ServiceReadiness {
    const {watch, loads, configuration, replicas} = this.parts;
    const services = configuration.getConfiguration()?.services ?? [];
    const configured = services.find(({name}) => name === service);
    const target = configured ? replicas.getPlannedService(configured).targetReplicas : 0;
    const instances = (watch.getBackendServers() ?? []).filter(one => this.isOpen(one));
    const ready = loads.countReady(instances, service, toVersion);
    if (target === 0) return {service, readyPercent: ready > 0 ? WHOLE_PERCENT : 0};
    return {service, readyPercent: Math.min((ready * WHOLE_PERCENT) / target, WHOLE_PERCENT)};
  }

  private isOpen({failureDomain}: Instance): boolean {
    const statuses = this.parts.stream.getFold().getFailureDomains();
    return !statuses.some(({name, state}) => name === failureDomain && state === 'out');
  }
}
