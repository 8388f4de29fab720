/** The entry daemon: wires blackboard, adapters and handlers, and stops gracefully. */
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {Blackboard} from '../blackboard/index.js';
import {ClaimService} from '../claims/index.js';
import {EngineClient} from '../engine/index.js';
import {ConfigurationFold, FleetFold} from '../folds/index.js';
import {CallersServer, ServingParts, type HandlerContext} from '../http/index.js';
import {LogClient, StreamFollower} from '../log/index.js';
import type {Logger} from '../logging/index.js';
import {Metrics} from '../metrics/index.js';
import {InstanceListClient} from '../platform/index.js';
import type {EntrySettings} from './EntrySettings.js';
import {ServerWatcher} from './ServerWatcher.js';

const LOG_TIMEOUT_MS = 2_000;
const LIST_TIMEOUT_MS = 2_000;
const CONNECT_TIMEOUT_MS = 1_000;
const REPORT_TIMEOUT_MS = 1_000;
const DRAIN_POLL_MS = 50;

/** Options of an `EntryDaemon`. */
export interface EntryDaemonOptions {
  readonly settings: EntrySettings;
  readonly logger: Logger;
}

/** Serves callers on one entry instance. */
export class EntryDaemon {
  private readonly options: EntryDaemonOptions;
  private readonly blackboard = new Blackboard();
  private readonly configurationFold = new ConfigurationFold();
  private readonly fleetFold = new FleetFold();
  private readonly log: LogClient;
  private readonly list: InstanceListClient;
  private readonly engine: EngineClient;
  private readonly metrics: Metrics;
  private readonly claims: ClaimService;
  private readonly followers: readonly StreamFollower[];
  private readonly serving: ServingParts;
  private readonly watcher: ServerWatcher;
  private readonly server: CallersServer;
  private isStopping = false;

  constructor(options: EntryDaemonOptions) {
    this.options = options;
    const {settings} = options;
    const getNowMs = () => Date.now();
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
    this.claims = new ClaimService({
      log: this.log,
      claimant: `${settings.instanceId}/${randomUUID()}`,
      getNowMs,
      isClaimantLive: () => true,
    });
    this.followers = [this.createConfigurationFollower(), this.createFleetFollower()];
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
      listIntervalMs: settings.listIntervalMs,
      reportIntervalMs: settings.reportIntervalMs,
    });
    const {address, port} = settings;
    this.server = new CallersServer({context: this.createContext(getNowMs), address, port});
  }

  /** Starts all parts and listens. */
  async start(): Promise<void> {
    for (const follower of this.followers) follower.start();
    this.claims.start();
    await this.watcher.start();
    this.serving.start();
    await this.server.start();
    this.writeOwnMember();
    this.options.logger.info({port: this.server.getPort()}, 'entry listens');
  }

  /** Returns the port for callers. */
  getPort(): number {
    return this.server.getPort();
  }

  /** Leaves the look-up, waits for open requests within the drain timeout, and stops. */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    const {settings, logger} = this.options;
    this.isStopping = true;
    this.writeOwnMember();
    logger.info({open: this.server.getOpenCount()}, 'entry drains');
    const endAtMs = Date.now() + settings.drainTimeoutMs;
    while (this.server.getOpenCount() > 0 && Date.now() < endAtMs) await sleep(DRAIN_POLL_MS);
    this.watcher.stop();
    this.serving.stop();
    await this.server.stop();
    await this.claims.stop();
    await Promise.all(this.followers.map(follower => follower.stop()));
    await Promise.all([this.log.close(), this.list.close(), this.engine.close()]);
    await this.metrics.close();
    logger.info({}, 'entry stopped');
  }

  private createConfigurationFollower(): StreamFollower {
    return new StreamFollower({
      stream: 'configuration',
      log: this.log,
      getNowMs: () => Date.now(),
      fold: this.configurationFold,
      onApplied: () => this.writeConfiguration(),
    });
  }

  private writeConfiguration(): void {
    const revision = this.configurationFold.getRevision();
    const configuration = this.configurationFold.getConfiguration();
    const isNew = revision !== this.blackboard.getSection('configuration').revision;
    const confirmedAtMs = Date.now();
    this.blackboard.setSection('configuration', {revision, configuration, confirmedAtMs});
    if (isNew) this.options.logger.info({revision}, 'configuration in force');
  }

  private createFleetFollower(): StreamFollower {
    return new StreamFollower({
      stream: 'fleet',
      log: this.log,
      getNowMs: () => Date.now(),
      fold: this.fleetFold,
      onApplied: () => {
        this.blackboard.setSection('moves', {moves: this.fleetFold.getMoves()});
        this.blackboard.setSection('failureDomains', {domains: this.fleetFold.getFailureDomains()});
      },
    });
  }

  private createContext(getNowMs: () => number): HandlerContext {
    const {settings} = this.options;
    const {tracker, retryBudget, quarantine, evidence, runs, admission} = this.serving;
    return {
      blackboard: this.blackboard,
      engine: this.engine,
      claims: this.claims,
      admission,
      tracker,
      retryBudget,
      quarantine,
      evidence,
      runs,
      reportIncidents: this.serving.getReporter(),
      metrics: this.metrics,
      bodyLimits: {maxBytes: settings.maxBodyBytes, timeoutMs: settings.bodyTimeoutMs},
      deploymentKeys: settings.deploymentKeys,
      ownInstanceId: settings.instanceId,
      ownFailureDomain: settings.failureDomain,
      getNowMs,
      random: Math.random,
      createId: randomUUID,
      isStopping: () => this.isStopping,
    };
  }

  private writeOwnMember(): void {
    const {instanceId, address, peerPort, failureDomain} = this.options.settings;
    const {revision} = this.blackboard.getSection('configuration');
    const member = {
      instanceId,
      state: this.isStopping ? ('leaving' as const) : ('alive' as const),
      incarnation: 0,
      address,
      peerPort,
      callersPort: this.getPort(),
      failureDomain,
      configurationRevision: revision,
      changedAtMs: Date.now(),
    };
    this.blackboard.setSection('peers', {members: [member]});
  }
}
