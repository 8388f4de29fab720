/** The entry daemon: creates and connects its components, and shuts them down gracefully. */
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {Blackboard, type Incident} from '../blackboard/index.js';
import {ClaimService} from '../claims/index.js';
import {chooseBackendServer} from '../controllers/routing/index.js';
import {EngineClient} from '../engine/index.js';
import {ServingError} from '../errors/index.js';
import {FleetFold, markDrainingInstances} from '../folds/index.js';
import {CallerHttpServer, Handover, ServingParts, type HandlerContext} from '../http/index.js';
import {LogClient, LogWriter, StreamFollower} from '../log/index.js';
import type {Logger} from '../logging/index.js';
import {Metrics} from '../metrics/index.js';
import type {StreamRelay} from '../peer/index.js';
import {InstanceListClient} from '../infrastructure/index.js';
import {ClaimantWatch, createClaimant} from './ClaimantWatch.js';
import {EntryClock} from './EntryClock.js';
import type {EntrySettings} from './EntrySettings.js';
import {PeerParts} from './PeerParts.js';
import {ServerWatcher} from './ServerWatcher.js';

const LOG_TIMEOUT_MS = 2_000;
const LIST_TIMEOUT_MS = 2_000;
const CONNECT_TIMEOUT_MS = 1_000;
const REPORT_TIMEOUT_MS = 1_000;
/** How long a quarantine may take to be read back from the log. */
const QUARANTINE_TIMEOUT_MS = 10_000;
/** Interval at which a stopping entry checks its open requests and tries to hand them over. */
const DRAIN_POLL_MS = 50;

/** Options of an `EntryDaemon`. */
export interface EntryDaemonOptions {
  readonly settings: EntrySettings;
  readonly logger: Logger;
}

/** Accepts callers' requests on one entry instance and forwards them to backend servers. */
export class EntryDaemon {
  private readonly options: EntryDaemonOptions;
  private readonly blackboard = new Blackboard();
  private readonly fleetFold = new FleetFold();
  private readonly log: LogClient;
  private readonly list: InstanceListClient;
  private readonly engine: EngineClient;
  private readonly metrics: Metrics;
  private readonly claims: ClaimService;
  private readonly fleetWriter: LogWriter;
  private readonly fleetFollower: StreamFollower;
  private readonly peers: PeerParts;
  private readonly fleetRelay: StreamRelay;
  private readonly serving: ServingParts;
  private readonly watcher: ServerWatcher;
  private readonly server: CallerHttpServer;
  private readonly handover: Handover;
  private readonly claimantWatch = new ClaimantWatch();
  private readonly clock = new EntryClock();
  private isStopping = false;

  constructor(options: EntryDaemonOptions) {
    this.options = options;
    const {settings} = options;
    const {getWallMs: getNowMs, getAgeClockMs} = this.clock;
    const writer = createClaimant(settings.instanceId, randomUUID());
    this.log = new LogClient({url: settings.logUrl, timeoutMs: LOG_TIMEOUT_MS});
    this.list = new InstanceListClient({url: settings.listUrl, timeoutMs: LIST_TIMEOUT_MS});
    this.engine = new EngineClient({
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      reportTimeoutMs: REPORT_TIMEOUT_MS,
    });
    this.metrics = new Metrics({
      statsdAddress: settings.statsdAddress,
      statsdPort: settings.statsdPort,
      globalTags: {instance: settings.instanceId},
    });
    this.fleetWriter = new LogWriter({
      stream: 'fleet',
      log: this.log,
      writer,
      timeoutMs: QUARANTINE_TIMEOUT_MS,
    });
    this.fleetFollower = this.createFleetFollower();
    this.peers = new PeerParts({
      settings,
      blackboard: this.blackboard,
      log: this.log,
      writer,
      getNowMs,
      getAgeClockMs,
      random: Math.random,
      onIncidents: incidents => this.serving.incidents.addIncidents(incidents),
      onHandover: requests => this.server.getHandedRequestRuns().accept(requests),
    });
    this.claims = new ClaimService({
      log: this.log,
      claimant: writer,
      getNowMs: getAgeClockMs,
      aggregation: this.peers.getClaimAggregation(),
      random: Math.random,
      snapshotIntervalMs: settings.snapshotIntervalMs,
      isClaimantLive: claimant => this.isClaimantLive(claimant, getAgeClockMs()),
    });
    this.peers.addClaimService(this.claims);
    this.fleetRelay = this.peers.createRelay({
      stream: 'fleet',
      follower: this.fleetFollower,
      fold: this.fleetFold,
      onAdopted: () => this.writeFleetSections(),
    });
    this.serving = new ServingParts({
      blackboard: this.blackboard,
      metrics: this.metrics,
      ownInstanceId: settings.instanceId,
      getNowMs,
      maxRunningRequests: settings.maxRunningRequests,
      maxQueuedRequests: settings.maxQueuedRequests,
    });
    this.watcher = new ServerWatcher({
      blackboard: this.blackboard,
      tracker: this.serving.tracker,
      list: this.list,
      engine: this.engine,
      markDrainingInstances: instances =>
        markDrainingInstances(instances, this.fleetFold.getDrains()),
      getNowMs,
      listIntervalMs: settings.listIntervalMs,
      reportIntervalMs: settings.reportIntervalMs,
    });
    const {address, port} = settings;
    const context = this.createContext(getNowMs);
    this.server = new CallerHttpServer({context, address, port});
    this.handover = new Handover({
      context,
      send: (peer, requests) => this.peers.handOver(peer, requests),
    });
  }

  /** Starts all components, and resolves once both ports are open. */
  async start(): Promise<void> {
    this.logConfigurationChanges();
    this.fleetFollower.start();
    this.claims.start();
    await this.watcher.start();
    this.serving.start();
    this.serving.incidents.setBroadcaster(incidents => this.broadcastIncidents(incidents));
    await this.server.start();
    await this.peers.start(this.server.getPort());
    this.fleetRelay.start();
    this.options.logger.info(
      {port: this.getPort(), peerPort: this.getPeerPort()},
      'entry listening',
    );
  }

  /** Returns the actual port for callers; valid after `start`. */
  getPort(): number {
    return this.server.getPort();
  }

  /** Returns the actual port for peers; valid after `start`. */
  getPeerPort(): number {
    return this.peers.getPort();
  }

  /**
   * Announces the stop to peers, hands over or finishes open requests, and shuts down. Requests may run until the stop
   * time that the platform announced for this instance, or, if there is none, for the drain timeout.
   */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    const {settings, logger} = this.options;
    this.isStopping = true;
    this.peers.leave();
    logger.info({open: this.server.getOpenRequestCount()}, 'entry draining');
    const endAtMs = this.getOwnLeavingAtMs() ?? Date.now() + settings.drainTimeoutMs;
    while (this.hasOpenRequests() && Date.now() < endAtMs) {
      this.handover.handOver(endAtMs);
      await sleep(DRAIN_POLL_MS);
    }
    this.watcher.stop();
    this.serving.stop();
    await this.server.stop();
    await this.claims.stop();
    await this.fleetRelay.stop();
    await this.peers.stop();
    await this.fleetFollower.stop();
    await Promise.all([this.log.close(), this.list.close(), this.engine.close()]);
    await this.metrics.close();
    logger.info({}, 'entry stopped');
  }

  /** Resolves when the platform's list of instances announces a stop of this instance. */
  waitForStopNotice(): Promise<void> {
    return new Promise(resolve => {
      this.blackboard.addListener('instances', () => {
        if (this.getOwnLeavingAtMs() !== undefined) resolve();
      });
    });
  }

  private getOwnLeavingAtMs(): number | undefined {
    const {instances} = this.blackboard.getSection('instances');
    const own = instances.find(({instanceId}) => instanceId === this.options.settings.instanceId);
    return own?.leavingAtMs;
  }

  private hasOpenRequests(): boolean {
    return this.server.getOpenRequestCount() > 0 || this.serving.runs.getRuns().length > 0;
  }

  private logConfigurationChanges(): void {
    const {logger} = this.options;
    this.blackboard.addListener('configuration', ({revision}, previous) => {
      if (revision !== previous.revision) logger.info({revision}, 'configuration in force');
    });
  }

  private createFleetFollower(): StreamFollower {
    return new StreamFollower({
      stream: 'fleet',
      log: this.log,
      getNowMs: this.clock.getAgeClockMs,
      fold: this.fleetFold,
      writer: this.fleetWriter,
      onApplied: () => this.writeFleetSections(),
    });
  }

  private writeFleetSections(): void {
    const {fleetFold, blackboard} = this;
    blackboard.setSection('moves', {moves: fleetFold.getMoves()});
    blackboard.setSection('failureDomains', {domains: fleetFold.getFailureDomains()});
    const quarantines = fleetFold.getQuarantines(Date.now());
    this.serving.incidents.addIncidents(
      quarantines.map(({fingerprint, service, reporter, observedAtMs, expiresAtMs}) => ({
        kind: 'poison-quarantined' as const,
        subject: fingerprint,
        service,
        reporter,
        observedAtMs,
        expiresAtMs,
      })),
    );
  }

  /** Reports incidents to peers. Quarantines are also written to the log, for entries that start later. */
  private async broadcastIncidents(incidents: readonly Incident[]): Promise<void> {
    for (const incident of incidents) {
      if (incident.kind === 'poison-quarantined') this.recordQuarantine(incident);
    }
    await this.peers.broadcastIncidents(incidents);
  }

  private recordQuarantine(incident: Incident): void {
    const {subject: fingerprint, service, reporter, observedAtMs, expiresAtMs} = incident;
    this.fleetWriter
      .propose({kind: 'quarantine', fingerprint, service, reporter, observedAtMs, expiresAtMs})
      .catch(() => this.metrics.addCount('quarantine.not_recorded'));
  }

  private isClaimantLive(claimant: string, nowMs: number): boolean {
    const {members} = this.blackboard.getSection('peers');
    return this.claimantWatch.isLive(claimant, members, nowMs);
  }

  private checkAccepting(): void {
    if (this.isStopping) throw new ServingError('this entry is stopping', {kind: 'stopping'});
    const {mayAcceptWork, currency} = this.peers.getCurrency();
    if (mayAcceptWork) return;
    throw new ServingError(
      `this entry accepts no new requests: its configuration is not current (${currency})`,
      {
        kind: 'configuration-unknown',
      },
    );
  }

  private createContext(getNowMs: () => number): HandlerContext {
    const {settings} = this.options;
    const {tracker, retryBudget, quarantine, evidence, runs, runningAttempts, admission} =
      this.serving;
    return {
      blackboard: this.blackboard,
      engine: this.engine,
      claims: this.claims,
      admission,
      tracker,
      chooseServer: chooseBackendServer,
      retryBudget,
      quarantine,
      evidence,
      runs,
      runningAttempts,
      reportIncidents: this.serving.getIncidentReporter(),
      metrics: this.metrics,
      bodyLimits: {maxBytes: settings.maxBodyBytes, timeoutMs: settings.bodyTimeoutMs},
      deploymentKeys: settings.deploymentKeys,
      ownInstanceId: settings.instanceId,
      ownFailureDomain: settings.failureDomain,
      getNowMs,
      random: Math.random,
      createId: randomUUID,
      isStopping: () => this.isStopping,
      checkAccepting: () => this.checkAccepting(),
    };
  }
}
