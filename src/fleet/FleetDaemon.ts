/** The fleet daemon: competes for the lease and, while it holds the lease, manages the fleet. */
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
import {LeaseManager} from './LeaseManager.js';
import {ServerLoadCollector} from './ServerLoadCollector.js';
import {WeightLoadRunner} from './WeightLoadRunner.js';
import {MoveRunner} from './MoveRunner.js';
import {PlatformWatcher} from './PlatformWatcher.js';
import {ReplicaPlanner} from './ReplicaPlanner.js';
import {SnapshotRunner} from './SnapshotRunner.js';
import {DrainedInstanceStopper} from './DrainedInstanceStopper.js';

const LOG_TIMEOUT_MS = 3_000;
const PLATFORM_TIMEOUT_MS = 3_000;
const EVIDENCE_TIMEOUT_MS = 1_000;
/** A request to the platform is cancelled at its timeout; the remainder covers packets still in transit by then. */
const MAX_ORDER_DELAY_MS = 5_000;
/** Fraction of a term that a candidate waits after the term has ended, to allow for clock drift. */
const LEASE_MARGIN_FRACTION = 0.1;
/** Fraction of a term over which candidates spread their claims at random. */
const CLAIM_DELAY_FRACTION = 0.3;

/** Wires up the log streams, the lease, the platform clients and the control loop, and runs them until stopped. */
export class FleetDaemon {
  private readonly settings: FleetSettings;
  private readonly incarnation: string;
  private readonly logger: Logger;
  private readonly metrics: Metrics;
  private readonly clock = new FleetClock();
  private readonly log: LogClient;
  private readonly stream: FleetStream;
  private readonly configuration: ConfigurationStream;
  private readonly lease: LeaseManager;
  private readonly cloud: CloudClient;
  private readonly instanceList: InstanceListClient;
  private readonly weightStore: WeightStoreClient;
  private readonly evidenceClient: EvidenceClient;
  private readonly refusalsClient: RefusalsClient;
  private readonly serverLoadCollector: ServerLoadCollector;
  private readonly stopper: DrainedInstanceStopper;
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
      getNowMs: () => clock.getMonotonicMs(),
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
    this.instanceList = new InstanceListClient({url: settings.listUrl, timeoutMs});
    this.weightStore = new WeightStoreClient({url: settings.weightsUrl, timeoutMs});
    const {deploymentKey} = settings;
    this.evidenceClient = new EvidenceClient({deploymentKey, timeoutMs: EVIDENCE_TIMEOUT_MS});
    this.refusalsClient = new RefusalsClient({deploymentKey, timeoutMs: EVIDENCE_TIMEOUT_MS});
    const {lease, cloud, metrics, refusalsClient} = this;
    this.serverLoadCollector = new ServerLoadCollector({refusalsClient, metrics});
    this.stopper = new DrainedInstanceStopper({lease, cloud, logger, metrics});
    this.runner = this.createRunner();
  }

  /** Starts following the log, competing for the lease and running the control loop. */
  start(): void {
    this.stream.start();
    this.configuration.start();
    this.lease.start();
    this.runner.start();
  }

  /** Returns the unique id of this process run, under which it holds the lease. */
  getIncarnation(): string {
    return this.incarnation;
  }

  /** Releases the lease if it is held, and closes all connections. */
  async stop(): Promise<void> {
    await this.runner.stop();
    await this.lease.stop();
    await Promise.all([this.stream.stop(), this.configuration.stop()]);
    const clients = [
      this.log,
      this.cloud,
      this.instanceList,
      this.weightStore,
      this.evidenceClient,
    ];
    const readers = [this.refusalsClient, this.serverLoadCollector, this.stopper];
    await Promise.all([...clients, ...readers].map(client => client.close()));
    await this.metrics.close();
  }

  private createMetrics(): Metrics {
    const {instanceId, failureDomain, statsdAddress, statsdPort} = this.settings;
    const globalTags = {instance: instanceId, failureDomain};
    return new Metrics({statsdAddress, statsdPort, globalTags});
  }

  private createLeaseKeeper(): LeaseManager {
    const {stream, clock, incarnation, logger, metrics} = this;
    const termMs = this.settings.leaseTermMs;
    const timing = {
      termMs,
      marginMs: termMs * LEASE_MARGIN_FRACTION,
      claimDelayMs: termMs * CLAIM_DELAY_FRACTION * Math.random(),
    };
    const maxOrderDelayMs = MAX_ORDER_DELAY_MS;
    return new LeaseManager({stream, clock, incarnation, timing, maxOrderDelayMs, logger, metrics});
  }

  private createRunner(): FleetRunner {
    const {stream, configuration, lease, clock, cloud, instanceList, weightStore, stopper} = this;
    const {logger, metrics, incarnation, serverLoadCollector} = this;
    const {snapshotIntervalMs} = this.settings;
    const watcher = new PlatformWatcher({cloud, instanceList, metrics});
    return new FleetRunner({
      stream,
      configuration,
      lease,
      clock,
      watcher,
      stopper,
      logger,
      metrics,
      evidenceCollector: new EvidenceCollector({client: this.evidenceClient, metrics}),
      moveRunner: new MoveRunner({stream, lease, incarnation, logger, metrics}),
      capacityRunner: new CapacityRunner({stream, lease, cloud, watcher, logger, metrics}),
      serverLoadCollector,
      replicaPlanner: new ReplicaPlanner({loads: serverLoadCollector, logger, metrics}),
      weightLoadRunner: new WeightLoadRunner({lease, weightStore, metrics}),
      snapshotRunner: new SnapshotRunner({stream, lease, metrics, intervalMs: snapshotIntervalMs}),
    });
  }
}
