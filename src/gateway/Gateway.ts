/** A gateway process: admits requests, runs them at backend servers, and shares its state with the other gateways. */
import type {Catalog} from '../catalog/index.js';
import type {ServiceLoadView} from '../controllers/admission/index.js';
import {QuotaLedger} from '../controllers/quotas/index.js';
import {UsageLedger} from '../controllers/duties/index.js';
import {PromptRates, type ServiceLoad} from '../controllers/fleetSize/index.js';
import {FleetEvidence} from '../controllers/moves/index.js';
import {ServerLoads} from '../controllers/placement/index.js';
import type {
  BackendTransport,
  PeerTransport,
  ResponseSink,
  ServingRequest,
} from '../exchange/index.js';
import {
  GossipSocket,
  MemberTable,
  type GatewayMember,
  type GossipChannel,
  type GossipState,
} from '../gossip/index.js';
import type {EventLogger} from '../logging/index.js';
import {BufferBudget} from '../utils/index.js';
import {chooseCallerAddresses} from './chooseCallerAddresses.js';
import {compareSettings} from './compareSettings.js';
import {DutyRunner} from './DutyRunner.js';
import {GatewayGossip} from './GatewayGossip.js';
import {GatewayMetrics, type GatewayGauges} from './GatewayMetrics.js';
import {GatewayRunServices} from './GatewayRunServices.js';
import type {GatewaySettings} from './GatewaySettings.js';
import {PeerClock} from './PeerClock.js';
import type {DutyCalls, DutyLog, RolloutLog} from './ports.js';
import {LogReadCoordinator} from './LogReadCoordinator.js';
import {RequestForwarder} from './RequestForwarder.js';
import {RequestHandler, type OpenRequest} from './RequestHandler.js';
import {RequestQueue} from './RequestQueue.js';
import {RequestQuarantine} from './RequestQuarantine.js';
import {RolloutDuty} from './RolloutDuty.js';
import {RolloutGate} from './RolloutGate.js';
import {ServerLimits} from './ServerLimits.js';
import {EXAMINE_INTERVAL_MS, ServerReachability} from './ServerReachability.js';

/** Constructor options of `Gateway`: its settings, clocks and adapters. */
export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly catalog: Catalog;
  readonly transport: BackendTransport;
  readonly peerTransport: PeerTransport;
  readonly dutyCalls: DutyCalls;
  readonly dutyLog: DutyLog;
  readonly rolloutLog: RolloutLog;
  readonly events: EventLogger;
  readonly metrics: GatewayMetrics;
  /** Creates the channel to the other gateways; undefined for a UDP socket. */
  readonly createChannel?: (onState: (state: GossipState) => void) => GossipChannel;
  /** Returns the monotonic time in milliseconds. */
  readonly getNowMs: () => number;
  /** Returns the same time including the time for which the machine was suspended. */
  readonly getAwareNowMs: () => number;
  /** Returns the Unix time in milliseconds. */
  readonly getWallMs: () => number;
  /** Returns a random number from 0 to less than 1. */
  readonly random: () => number;
}

const DUTY_INTERVAL_MS = 400;
/** Interval at which the duty holder decides the steps of roll-outs, and renews them for the other gateways. */
const ROLLOUT_INTERVAL_MS = 250;
/** Time without a datagram after which callers are no longer sent to a gateway. */
const UNRESPONSIVE_AFTER_MS = 900;
/** Time without a datagram after which a gateway is assumed to have stopped. */
const REMOVED_AFTER_MS = 8_000;
/** Age of the registrations above which a gateway reports itself as not ready. */
const MAX_REGISTRATIONS_AGE_MS = 20_000;
/** Time after the start in which the other gateways are found through the seeds. */
const DISCOVERY_MS = 2_000;

/** A gateway without its listening sockets for callers, which an adapter opens. */
export class Gateway {
  private readonly options: GatewayOptions;
  private readonly members: MemberTable;
  private readonly gossip: GatewayGossip;
  /** Coordinates reads of the deployment's logs with the other gateways. */
  readonly logReadCoordinator: LogReadCoordinator;
  /** Memory of the responses that are incomplete, or that their callers haven't taken. */
  readonly responseBuffers: BufferBudget;
  private readonly loads = new ServerLoads();
  private readonly promptRates = new PromptRates();
  private readonly quotaLedger: QuotaLedger;
  private readonly usageLedger: UsageLedger;
  private readonly quarantine: RequestQuarantine;
  private readonly services: GatewayRunServices;
  private readonly duties: DutyRunner;
  private readonly evidence = new FleetEvidence();
  private readonly rolloutDuty: RolloutDuty;
  private dutyTimer: NodeJS.Timeout | undefined;
  private rolloutTimer: NodeJS.Timeout | undefined;
  private readonly reachability: ServerReachability;
  private reachabilityTimer: NodeJS.Timeout | undefined;
  private readonly startedAtMs: number;
  private readonly queue: RequestQueue;
  private readonly requests: RequestHandler;
  private isStopping = false;

  constructor(options: GatewayOptions) {
    const {settings, catalog, events, getNowMs, getWallMs, random} = options;
    this.options = options;
    this.startedAtMs = getNowMs();
    const clock = new PeerClock({getWallMs, getNowMs});
    const describeSelf = () => this.describeSelf();
    this.members = new MemberTable(settings.id, {
      unresponsiveAfterMs: UNRESPONSIVE_AFTER_MS,
      removedAfterMs: REMOVED_AFTER_MS,
    });
    this.quotaLedger = new QuotaLedger({
      startsFull: settings.isFirstStart,
      toleratedShare: settings.quotaToleratedShare,
    });
    this.responseBuffers = new BufferBudget(settings.maxBufferedBytes);
    this.usageLedger = new UsageLedger(settings.usageWindowSeconds);
    const isFleetKnown = (nowMs: number) => this.isFleetKnown(nowMs);
    const getGatewayIds = (nowMs: number) => [settings.id, ...this.members.getKnownIds(nowMs)];
    this.quarantine = new RequestQuarantine({
      ownId: settings.id,
      events,
      hasStopped: server => options.transport.hasStopped(server),
      isExpectedToServe: server => catalog.servers.isExpectedToServe(server.entry),
      getGatewayIds,
      isFleetKnown,
      getNowMs,
      getWallMs: () => clock.getWallMs(),
    });
    const serverLimits = new ServerLimits({
      ownId: settings.id,
      events,
      getGatewayIds,
      isFleetKnown,
      getWallMs: () => clock.getWallMs(),
    });
    const rollouts = new RolloutGate({
      catalog,
      events,
      onStep: step => options.metrics.addRolloutStep(step),
    });
    this.reachability = new ServerReachability({
      catalog,
      transport: options.transport,
      events,
      getCutOffPeerCount: nowMs =>
        this.members.getLiveMembers(nowMs).filter(({isCutOff}) => isCutOff).length,
      onChange: () => this.gossip.broadcast(),
      getNowMs,
      random,
    });
    this.services = new GatewayRunServices({
      settings,
      catalog,
      loads: this.loads,
      promptRates: this.promptRates,
      usageLedger: this.usageLedger,
      responseBuffers: this.responseBuffers,
      quarantine: this.quarantine,
      serverLimits,
      rollouts,
      evidence: this.evidence,
      reachability: this.reachability,
      events,
      recheck: admitted => this.requests.recheck(admitted),
      onServerLeaving: () => this.gossip.broadcast(),
      isFleetKnown,
      getGatewayIds,
      getNowMs,
      getWallMs: () => clock.getWallMs(),
      random,
    });
    this.logReadCoordinator = new LogReadCoordinator({
      catalog,
      members: this.members,
      events,
      describeSelf,
      getAwareNowMs: options.getAwareNowMs,
    });
    this.queue = new RequestQueue({
      isWaitingEnabled: (service, nowMs) => this.services.hasWorkFactors(service, nowMs),
      getView: (service, ownRequests, nowMs) => this.getLoadView(service, ownRequests, nowMs),
      metrics: options.metrics,
      getNowMs,
      random,
    });
    this.requests = new RequestHandler({
      revocationMs: settings.revocationMs,
      catalog,
      transport: options.transport,
      services: this.services,
      members: this.members,
      quotaLedger: this.quotaLedger,
      metrics: options.metrics,
      events,
      queue: this.queue,
      forwarder: new RequestForwarder({
        settings,
        transport: options.peerTransport,
        members: this.members,
        metrics: options.metrics,
        events,
        getNowMs,
        random,
      }),
      reachability: this.reachability,
      getConfigurationProofAgeMs: () => this.logReadCoordinator.getOperatorProofAgeMs(),
      getNowMs,
      random,
    });
    this.duties = new DutyRunner({
      settings,
      catalog,
      members: this.members,
      usageLedger: this.usageLedger,
      calls: options.dutyCalls,
      log: options.dutyLog,
      events,
      getServiceLoad: (service, nowMs) => this.getServiceLoad(service, nowMs),
      isMoving: service => rollouts.isMoving(service),
      isReady: () => this.isReady(),
      getNowMs,
      getWallMs: () => clock.getWallMs(),
    });
    this.rolloutDuty = new RolloutDuty({
      catalog,
      gate: rollouts,
      evidence: this.evidence,
      log: options.rolloutLog,
      limits: settings.rolloutExposure,
      events,
      getOpenRequests: (serverId, nowMs) => this.loads.getLoad(serverId, nowMs).openRequests,
      getNowMs,
      getWallMs: () => clock.getWallMs(),
    });
    this.gossip = new GatewayGossip({
      settings,
      catalog,
      members: this.members,
      loads: this.loads,
      promptRates: this.promptRates,
      quotaLedger: this.quotaLedger,
      usageLedger: this.usageLedger,
      duties: this.duties,
      logReadCoordinator: this.logReadCoordinator,
      quarantine: this.quarantine,
      serverLimits,
      rollouts,
      evidence: this.evidence,
      clock,
      events,
      createChannel: onState =>
        options.createChannel?.(onState) ??
        new GossipSocket({ip: settings.ip, port: settings.gossipPort, events, onState}),
      describeSelf,
      getNowMs,
    });
  }

  /** Opens the gossip socket and starts the timers of gossip and duties. */
  async start(): Promise<void> {
    await this.gossip.start();
    this.dutyTimer = setInterval(() => this.runDuties(), DUTY_INTERVAL_MS);
    this.rolloutTimer = setInterval(() => this.decideRollouts(), ROLLOUT_INTERVAL_MS);
    this.reachabilityTimer = setInterval(() => this.examineLinks(), EXAMINE_INTERVAL_MS);
  }

  /**
   * Applies the changed settings that a running gateway can apply, and logs those that need a restart.
   * @param settings - All settings, changed or not.
   */
  reload(settings: GatewaySettings): void {
    const {applied, needRestart} = compareSettings(this.options.settings, settings);
    this.gossip.setSeeds(settings.gossipSeeds);
    this.options.events.log('settings reloaded', {
      applied: applied.join(),
      needRestart: needRestart.join(),
    });
  }

  /** Broadcasts the state of this gateway now instead of at the next interval. */
  broadcastState(): void {
    this.gossip.broadcast();
  }

  /**
   * Announces to the other gateways that this one is leaving. Requests in progress continue, and new ones are accepted
   * if they can end in time.
   * @param endsRequestsAtMs - Monotonic time at which `endOpenRequests` will be called.
   */
  beginStop(endsRequestsAtMs: number): void {
    this.isStopping = true;
    this.requests.beginStop(endsRequestsAtMs);
    this.gossip.broadcast();
  }

  /** Ends all requests in progress with an error, since the process is about to exit. */
  endOpenRequests(): void {
    this.requests.endOpenRequests();
  }

  /** Stops the timers and closes the gossip socket. */
  close(): void {
    clearInterval(this.dutyTimer);
    clearInterval(this.rolloutTimer);
    clearInterval(this.reachabilityTimer);
    this.gossip.close();
  }

  /**
   * Returns the current values of the gauges.
   * @param droppedLogLines - Log lines dropped since the start because nothing read them.
   * @param leftOutLogLines - Log lines suppressed since the start by the rate limits of their events.
   */
  getGauges(droppedLogLines: number, leftOutLogLines: number): GatewayGauges {
    const {catalog, getNowMs, settings} = this.options;
    const nowMs = getNowMs();
    return {
      openRequests: this.requests.openRequests,
      configurationVersion: catalog.routeTable?.configuration.version ?? 0,
      configurationAgeMs: this.logReadCoordinator.getOperatorProofAgeMs(),
      registrationsAgeMs: catalog.getRegistrationsAgeMs(nowMs),
      isCutOff: this.reachability.isCutOff,
      gatewaysHeard: this.members.getLiveMembers(nowMs).length,
      gatewaysKnown: this.members.getKnownCount(nowMs),
      backendServers: catalog.servers.getServers().length,
      dutyToken: this.duties.claim.token,
      isDutyHolder: this.duties.claim.holderId === settings.id,
      quarantines: this.quarantine.getQuarantineCount(),
      gossip: this.gossip.traffic,
      waitingRequests: this.queue.getWaitingCounts(),
      droppedLogLines,
      leftOutLogLines,
      factors: this.services.getFactorSummaries(nowMs),
    };
  }

  /** Called when the store has come back from an older copy. */
  handleStoreRestored(): void {
    this.duties.handleStoreRestored();
  }

  /** Returns whether this gateway serves new callers: it isn't stopping, and its catalog is recent enough. */
  isReady(): boolean {
    const {catalog, getNowMs} = this.options;
    if (this.isStopping || !catalog.routeTable) return false;
    const nowMs = getNowMs();
    return (
      this.requests.isConfigurationCurrent() &&
      catalog.getRegistrationsAgeMs(nowMs) <= MAX_REGISTRATIONS_AGE_MS
    );
  }

  /** Returns whether another gateway was heard of lately. */
  isLiveMember(id: string): boolean {
    return this.members.getLiveMembers(this.options.getNowMs()).some(member => member.id === id);
  }

  /** Whether the process has been asked to stop. */
  get isLeaving(): boolean {
    return this.isStopping;
  }

  /**
   * Returns the gateway addresses, each `IP:port`, that a caller may use.
   * @param callerDomain - The caller's failure domain; undefined if the caller didn't name it.
   */
  getCallerAddresses(callerDomain: string | undefined): readonly string[] {
    const own = this.describeSelf();
    const readyMembers = [own, ...this.members.getLiveMembers(this.options.getNowMs())].filter(
      member => member.isReady && !member.isLeaving,
    );
    const servingMembers = readyMembers.filter(({isCutOff}) => !isCutOff);
    const members = servingMembers.length > 0 ? servingMembers : readyMembers;
    const {regionByDomain} = this.options.settings;
    return chooseCallerAddresses(members, callerDomain, domain => regionByDomain.get(domain));
  }

  /**
   * Serves a request, or holds it for a short time if the process has just started.
   * @param request - Admitted or refused by the configuration in force when the request is served.
   * @param sink - Receives the response or the refusal.
   */
  accept(request: ServingRequest, sink: ResponseSink): OpenRequest {
    return this.requests.accept(request, sink);
  }

  /** Returns whether the other gateways are likely to be known; a gateway without other seeds has none to find. */
  private isFleetKnown(nowMs: number): boolean {
    const {ip, gossipPort, gossipSeeds} = this.options.settings;
    const isOnlySeed = gossipSeeds.every(seed => seed === `${ip}:${gossipPort}`);
    return isOnlySeed || nowMs - this.startedAtMs >= DISCOVERY_MS;
  }

  private describeSelf(): GatewayMember {
    const {settings} = this.options;
    return {
      id: settings.id,
      incarnation: settings.incarnation,
      gossipAddress: `${settings.ip}:${settings.gossipPort}`,
      trafficAddress: settings.trafficAddress,
      failureDomain: settings.failureDomain,
      isReady: this.isReady(),
      isLeaving: this.isStopping,
      isCutOff: this.reachability.isCutOff,
    };
  }

  /** Returns what this gateway knows of the load of a service, for its queue. */
  private getLoadView(service: string, ownRequests: number, nowMs: number): ServiceLoadView {
    const {catalog} = this.options;
    const servers = catalog.servers.getAvailableServers(service, catalog.evacuatedDomains);
    const live = this.members.getLiveMembers(nowMs).filter(({isLeaving}) => !isLeaving);
    const isAlone = live.length === 0 && this.members.getKnownCount(nowMs) === 0;
    const openRequests = servers.reduce(
      (sum, {entry}) => sum + this.loads.getLoad(entry.id, nowMs).openRequests,
      0,
    );
    return {
      slots: servers.reduce((sum, {entry}) => sum + entry.slots, 0),
      ownRequests,
      peerRequests: Math.max(0, openRequests - ownRequests),
      gateways: live.length + 1,
      isFleetKnown: live.length > 0 || (isAlone && this.isFleetKnown(nowMs)),
    };
  }

  private getServiceLoad(service: string, nowMs: number): ServiceLoad {
    const serverLoads = this.options.catalog.servers
      .getServers()
      .filter(({entry}) => entry.service === service)
      .map(({entry}) => this.loads.getLoad(entry.id, nowMs));
    return {
      openRequests: serverLoads.reduce((sum, {openRequests}) => sum + openRequests, 0),
      pendingPromptTokens: serverLoads.reduce((sum, load) => sum + load.pendingPromptTokens, 0),
      promptTokensPerSecond: this.gossip.getPromptRate(service, nowMs),
    };
  }

  /** Decides the next steps of roll-outs, if this gateway holds the duties. */
  decideRollouts(): void {
    this.rolloutDuty.tick(this.isReady() ? this.duties.heldClaim : undefined);
  }

  /** Finds out whether the backend servers are in reach, if there is a doubt. */
  examineLinks(): void {
    this.reachability.examine().catch((error: unknown) => {
      this.options.events.log('links not examined', {error: String(error)});
    });
  }

  /** Claims the duties if that is due, or performs them if they are held. */
  runDuties(): void {
    this.duties.tick(this.startedAtMs).catch((error: unknown) => {
      this.options.events.log('duties failed', {error: String(error)});
    });
  }
}
