/** The fleet daemon: a candidate for the lease, and as its holder the one that runs the fleet's decisions. */
import {randomUUID} from 'node:crypto';
import {LogClient} from '../log/index.js';
import {createLogger, type Logger} from '../logging/index.js';
import {Metrics} from '../metrics/index.js';
import {
  CloudClient,
  EvidenceClient,
  InstanceListClient,
  RefusalsClient,
  WeightStoreClient,
} from '../infrastructure/index.js';
import {CapacityRunner} from './CapacityRunner.js';
import {ConfigurationStream} from './ConfigurationStream.js';
import {EvidenceCollector} from './EvidenceCollector.js';
import {FleetClock} from './FleetClock.js';
import type {FleetSettings} from './FleetSettings.js';
import {FleetRunner} from './FleetRunner.js';
import {FleetStream} from './FleetStream.js';
import {LeaseKeeper} from './LeaseKeeper.js';
import {LoadCollector} from './LoadCollector.js';
import {LoadRunner} from './LoadRunner.js';
import {MoveRunner} from './MoveRunner.js';
import {PlatformWatch} from './PlatformWatch.js';
import {ReplicaKeeper} from './ReplicaKeeper.js';
import {SnapshotRunner} from './SnapshotRunner.js';
import {StopRunner} from './StopRunner.js';

const LOG_TIMEOUT_MS = 3_000;
const PLATFORM_TIMEOUT_MS = 3_000;
const EVIDENCE_TIMEOUT_MS = 1_000;
/** An order is given up after the platform's timeout; the rest covers what the network still carries. */
const LONGEST_ORDER_MS = 5_000;
/** Part of a term that a candidate waits beyond it, for clocks that run at different rates. */
const MARGIN_PART = 0.1;
/** Part of a term over which candidates spread their claims. */
const CLAIM_SPREAD_PART = 0.3;

/** Runs until it is stopped. */
export class FleetDaemon {
  private readonly settings: FleetSettings;
  private readonly incarnation: string;
  private readonly logger: Logger;
  private readonly metrics: Metrics;
  private readonly clock = new FleetClock();
  private readonly log: LogClient;
  private readonly stream: FleetStream;
  private readonly configuration: ConfigurationStream;
  private readonly lease: LeaseKeeper;
  private readonly cloud: CloudClient;
  private readonly list: InstanceListClient;
  private readonly weights: WeightStoreClient;
  private readonly evidence: EvidenceClient;
  private readonly refusals: RefusalsClient;
  private readonly serverLoads: LoadCollector;
  private readonly stops: StopRunner;
  private readonly runner: FleetRunner;

  constructor(settings: FleetSettings) {
    this.settings = settings;
    const {instanceId, logLevel, logUrl, leaseTermMs} = settings;
    this.incarnation = `${instanceId}/${randomUUID()}`;
    this.logger = createLogger({name: 'buckthorn-fleet', instanceId, level: logLevel});
    this.metrics = this.createMetrics();
    this.log = new LogClient({url: logUrl, timeoutMs: LOG_TIMEOUT_MS});
    const {log, logger, incarnation, clock} = this;
    this.stream = new FleetStream({
      log,
      logger,
      incarnation,
      getNowMs: () => clock.getCandidateMs(),
      proposalTimeoutMs: leaseTermMs,
      longPollMs: leaseTermMs,
    });
    this.configuration = new ConfigurationStream({
      log,
      logger,
      incarnation,
      getNowMs: () => clock.getWallMs(),
      snapshotIntervalMs: settings.snapshotIntervalMs,
    });
    this.lease = this.createLeaseKeeper();
    const timeoutMs = PLATFORM_TIMEOUT_MS;
    this.cloud = new CloudClient({url: settings.cloudUrl, timeoutMs});
    this.list = new InstanceListClient({url: settings.listUrl, timeoutMs});
    this.weights = new WeightStoreClient({url: settings.weightsUrl, timeoutMs});
    const {deploymentKey} = settings;
    this.evidence = new EvidenceClient({deploymentKey, timeoutMs: EVIDENCE_TIMEOUT_MS});
    this.refusals = new RefusalsClient({deploymentKey, timeoutMs: EVIDENCE_TIMEOUT_MS});
    const {lease, cloud, metrics, refusals} = this;
    this.serverLoads = new LoadCollector({refusals, metrics});
    this.stops = new StopRunner({lease, cloud, logger, metrics});
    this.runner = this.createRunner();
  }

  /** Starts reading the log and taking part in the lease. */
  start(): void {
    this.stream.start();
    this.configuration.start();
    this.lease.start();
    this.runner.start();
  }

  /** Returns the name under which this process holds the lease. */
  getIncarnation(): string {
    return this.incarnation;
  }

  /** Gives up the lease where it is held, and closes all connections. */
  async stop(): Promise<void> {
    await this.runner.stop();
    await this.lease.stop();
    await Promise.all([this.stream.stop(), this.configuration.stop()]);
    const clients = [this.log, this.cloud, this.list, this.weights, this.evidence];
    const readers = [this.refusals, this.serverLoads, this.stops];
    await Promise.all([...clients, ...readers].map(client => client.close()));
    await this.metrics.close();
  }

  private createMetrics(): Metrics {
    const {instanceId, failureDomain, statsdAddress, statsdPort} = this.settings;
    const globalTags = {instance: instanceId, failureDomain};
    return new Metrics({statsdAddress, statsdPort, globalTags});
  }

  private createLeaseKeeper(): LeaseKeeper {
    const {stream, clock, incarnation, logger, metrics} = this;
    const termMs = this.settings.leaseTermMs;
    const timing = {
      termMs,
      marginMs: termMs * MARGIN_PART,
      claimDelayMs: termMs * CLAIM_SPREAD_PART * Math.random(),
    };
    const longestOrderMs = LONGEST_ORDER_MS;
    return new LeaseKeeper({stream, clock, incarnation, timing, longestOrderMs, logger, metrics});
  }

  private createRunner(): FleetRunner {
    const {stream, configuration, lease, clock, cloud, list, weights, stops} = this;
    const {logger, metrics, incarnation, serverLoads} = this;
    const {snapshotIntervalMs} = this.settings;
    const watch = new PlatformWatch({cloud, list, metrics});
    return new FleetRunner({
      stream,
      configuration,
      lease,
      clock,
      watch,
      stops,
      logger,
      metrics,
      evidence: new EvidenceCollector({client: this.evidence, metrics}),
      moves: new MoveRunner({stream, lease, incarnation, logger, metrics}),
      capacity: new CapacityRunner({stream, lease, cloud, watch, logger, metrics}),
      serverLoads,
      replicas: new ReplicaKeeper({loads: serverLoads, logger, metrics}),
      loads: new LoadRunner({lease, weights, metrics}),
      snapshots: new SnapshotRunner({stream, lease, metrics, intervalMs: snapshotIntervalMs}),
    });
  }
}
