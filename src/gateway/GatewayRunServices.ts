/** Connects request runs to placement, retry budgets, server health and usage counts. */
import {
  getServerStartKey,
  type Catalog,
  type KnownServer,
  type ServerEntry,
  type Service,
} from '../catalog/index.js';
import type {UsageLedger} from '../controllers/duties/index.js';
import {
  BrittleServers,
  ServerRateLimiter,
  ServerRateShares,
  ServerHealth,
  ServerPauses,
  ServerSpeeds,
  choosePlacement,
  type FactorChange,
  type FactorSummary,
  type RateShare,
  type HealthOutcome,
  type PlacementDecision,
  type ServerLoads,
} from '../controllers/placement/index.js';
import type {PromptRates} from '../controllers/fleetSize/index.js';
import {
  getLoadBand,
  getPrefillBand,
  getRolloutKey,
  type FleetEvidence,
} from '../controllers/moves/index.js';
import {RetryBudget} from '../controllers/retry/index.js';
import type {
  AdmittedRequest,
  Answer,
  AttemptMeasurement,
  BackendHead,
  LostAttempt,
  RefusalKind,
  RunningAttempt,
  RunServices,
} from '../exchange/index.js';
import type {QuarantineCheck, SuspectRequest} from '../controllers/quarantine/index.js';
import type {EventLogger} from '../logging/index.js';
import {
  RecentDurations,
  getTextKey,
  type BufferAccount,
  type BufferBudget,
} from '../utils/index.js';
import type {GatewaySettings} from './GatewaySettings.js';
import type {RequestQuarantine} from './RequestQuarantine.js';
import type {RolloutGate} from './RolloutGate.js';
import type {ServerLimits} from './ServerLimits.js';
import type {ServerReachability} from './ServerReachability.js';
import {ServiceTargets} from './ServiceTargets.js';

/** Constructor options of `GatewayRunServices`. */
export interface GatewayRunServicesOptions {
  readonly settings: GatewaySettings;
  readonly catalog: Catalog;
  readonly loads: ServerLoads;
  readonly promptRates: PromptRates;
  readonly usageLedger: UsageLedger;
  readonly responseBuffers: BufferBudget;
  readonly quarantine: RequestQuarantine;
  readonly serverLimits: ServerLimits;
  readonly rollouts: Pick<RolloutGate, 'getVersions' | 'isRunning'>;
  readonly evidence: FleetEvidence;
  readonly reachability: Pick<
    ServerReachability,
    'addAttempt' | 'removeAttempt' | 'addSignOfLife' | 'addFailure'
  >;
  readonly events: EventLogger;
  /** Returns why a request that was admitted isn't any more; undefined if it still is. */
  readonly recheck: (admitted: AdmittedRequest) => RefusalKind | undefined;
  /** Called when a server has said that it is leaving, which the other gateways should learn at once. */
  readonly onServerLeaving: () => void;
  /** Returns the ids of the gateways that may be sending requests, including this one. */
  readonly getGatewayIds: (nowMs: number) => readonly string[];
  /** Returns whether this gateway has had time to learn of the other gateways since its start. */
  readonly isFleetKnown: (nowMs: number) => boolean;
  /** Returns the monotonic time in milliseconds. */
  readonly getNowMs: () => number;
  /** Returns the Unix time in milliseconds. */
  readonly getWallMs: () => number;
  /** Returns a random number from 0 to less than 1. */
  readonly random: () => number;
}

const PERCENT = 100;
/** Requests per second that a gateway's share of a cold server's limit is worth at least. */
const MIN_COLD_SHARE_PER_SECOND = 1.5;
/** The slots of a server that are left over are given to as many gateways. */
const EXTRA_SLOTS_PER_GATEWAY = 1;
/** Share of `retrySlack` that the gateways divide among themselves; the rest covers gateways that join and leave. */
const USABLE_SLACK_SHARE = 0.6;
/** Cold servers crash above their limit, so a tenth is left unused. */
const USED_COLD_FRACTION = 0.9;
/** Time after its registration in which a server is slower than later, whatever its version. */
const WARM_UP_MS = 4_000;
/** Callers give up waiting for a first event after this multiple of the latency target. */
const STALL_TARGET_FACTOR = 4;
/** For routes without a latency target. */
const MIN_STALL_MS = 400;
const DEFAULT_MAX_CONNECTIONS = 100;
/** Base of the delay before a caller retries; a random part of up to the same length is added to spread the retries. */
const RETRY_AFTER_BASE_MS: Readonly<Partial<Record<RefusalKind, number>>> = {
  'no-server': 300,
  'backend-refused': 300,
  overloaded: 500,
  timeout: 100,
};
const DEFAULT_RETRY_AFTER_BASE_MS = 200;

/** State that all request runs of one gateway share. */
export class GatewayRunServices implements RunServices {
  private readonly options: GatewayRunServicesOptions;
  private readonly health = new ServerHealth();
  private readonly pauses = new ServerPauses();
  private readonly brittleServers = new BrittleServers();
  /** Which gateways have one slot more than others at a brittle server. */
  private readonly slotShares: ServerRateShares;
  private readonly speeds: ServerSpeeds;
  private readonly targets = new ServiceTargets();
  private readonly coldLimiter = new ServerRateLimiter(USED_COLD_FRACTION);
  private readonly coldShares: ServerRateShares;
  /** By route: times from the sending of an attempt to its first event or head. */
  private readonly firstEventDurations = new RecentDurations();
  private readonly retryBudgets = new Map<string, RetryBudget>();

  constructor(options: GatewayRunServicesOptions) {
    this.options = options;
    this.speeds = new ServerSpeeds(
      serverId => options.catalog.servers.getServer(serverId) !== undefined,
    );
    this.coldShares = new ServerRateShares(options.settings.id, MIN_COLD_SHARE_PER_SECOND);
    this.slotShares = new ServerRateShares(options.settings.id, EXTRA_SLOTS_PER_GATEWAY);
  }

  /** Returns whether servers of a service report work factors. */
  hasWorkFactors(service: string, nowMs: number): boolean {
    return this.speeds.isActive(service, nowMs);
  }

  /** Returns the believed work factors of the servers, by service. */
  getFactorSummaries(nowMs: number): readonly FactorSummary[] {
    return this.speeds.getSummaries(nowMs);
  }

  recheck(admitted: AdmittedRequest): RefusalKind | undefined {
    return this.options.recheck(admitted);
  }

  choose(
    admitted: AdmittedRequest,
    attemptedServerIds: ReadonlySet<string>,
    nowMs: number,
  ): PlacementDecision {
    const {rollouts, random} = this.options;
    const servers = this.getAllowedServers(admitted);
    const request = {service: admitted.service, isRetry: attemptedServerIds.size > 0};
    let decision: PlacementDecision = {kind: 'none', reason: 'no-server'};
    for (const isWanted of rollouts.getVersions(request, random(), nowMs)) {
      // The same list is passed on if possible: what is computed of it is kept.
      const wanted = servers.every(isWanted) ? servers : servers.filter(isWanted);
      decision = this.chooseAmong(wanted, admitted, attemptedServerIds, nowMs);
      if (decision.kind === 'chosen') return decision;
    }
    return decision;
  }

  private chooseAmong(
    servers: readonly KnownServer[],
    admitted: AdmittedRequest,
    attemptedServerIds: ReadonlySet<string>,
    nowMs: number,
  ): PlacementDecision {
    const {catalog, loads, random} = this.options;
    const service = this.getService(admitted.service);
    const configuration = catalog.routeTable?.configuration;
    return choosePlacement(
      {
        servers,
        getLoad: serverId => loads.getLoad(serverId, nowMs),
        getFailureRate: serverId => this.health.getFailureRate(serverId, nowMs),
        getPauseMs: server => this.getPauseMs(server, nowMs),
        isInBackoff: serverId => this.health.isInBackoff(serverId, nowMs),
        hasColdCapacity: server => this.hasColdCapacity(server, service, nowMs),
        hasLimitCapacity: server => this.options.serverLimits.hasCapacity(server, nowMs),
        speeds: this.speeds.getView(admitted.service, nowMs),
      },
      {
        promptParts: admitted.request.promptParts,
        attemptedServerIds,
        targets: this.targets.getTargets(configuration, admitted.service, admitted.route),
      },
      random,
    );
  }

  consumeRetry(service: string, nowMs: number): boolean {
    const budget = this.getRetryBudget(service);
    if (!budget.canRetry(nowMs, this.getMinRetries(nowMs))) return false;
    budget.recordRetry(nowMs);
    return true;
  }

  getMaxConnections(service: string): number {
    const total = this.getService(service)?.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
    return Math.max(1, Math.floor(total / this.getGatewayCount(this.options.getNowMs())));
  }

  getRetryAfterMs(refusal: RefusalKind): number {
    const baseMs = RETRY_AFTER_BASE_MS[refusal] ?? DEFAULT_RETRY_AFTER_BASE_MS;
    return baseMs * (1 + this.options.random());
  }

  onSent(
    admitted: AdmittedRequest,
    server: KnownServer,
    promptTokens: number,
    attempt: number,
    nowMs: number,
  ): void {
    if (attempt === 1) {
      this.getRetryBudget(admitted.service).recordFirstAttempt(nowMs);
      this.options.promptRates.addPrompt(admitted.service, promptTokens, nowMs);
    }
    this.options.loads.addRequest(server.entry.id, promptTokens);
    this.options.reachability.addAttempt(server, nowMs);
    this.options.serverLimits.addRequest(server, nowMs);
    if (server.coldUntilMs <= nowMs) return;
    const limit = this.getColdShare(server, this.getService(admitted.service), nowMs);
    if (limit) this.coldLimiter.addRequest(server.entry.id, limit, nowMs);
    this.options.events.log('attempt at cold server', {
      request: admitted.request.id,
      server: server.entry.id,
      coldMs: Math.round(server.coldUntilMs - nowMs),
      gateways: limit?.gateways,
    });
  }

  onReceived(server: KnownServer, nowMs: number): void {
    this.options.reachability.addSignOfLife(server, nowMs);
  }

  onHead(server: KnownServer, head: BackendHead, nowMs: number): void {
    this.applyRequestLimit(server, head, nowMs);
    this.applyPause(server, head, nowMs);
    this.applyBrittleness(server, head, nowMs);
    this.applyLeaving(server, head, nowMs);
    this.applyWorkFactor(server, head, nowMs);
    if (head.isMisdirected) this.options.catalog.servers.removeServer(server.entry.id, nowMs);
    else if (head.coldMs !== undefined && head.coldMs > 0) {
      this.options.catalog.servers.markCold(server.entry.id, nowMs + head.coldMs, nowMs);
    }
  }

  onPrefillEnd(server: KnownServer, promptTokens: number): void {
    this.options.loads.removePrompt(server.entry.id, promptTokens);
  }

  openBuffer(onExceeded: () => void): BufferAccount {
    return this.options.responseBuffers.open(onExceeded);
  }

  getStallMs({route}: AdmittedRequest, nowMs: number): number {
    const usualMs = this.firstEventDurations.getLongestExpectedMs(route.name, nowMs) ?? 0;
    return Math.max(MIN_STALL_MS, usualMs, route.latencyTargetMs * STALL_TARGET_FACTOR);
  }

  onStalled(admitted: AdmittedRequest, {entry}: KnownServer, nowMs: number): void {
    this.options.events.log('attempt overdue', {
      request: admitted.request.id,
      server: entry.id,
      service: admitted.service,
      stallMs: Math.round(this.getStallMs(admitted, nowMs)),
    });
  }

  onRunning(admitted: AdmittedRequest, running: RunningAttempt, nowMs: number): void {
    const {server, promptTokens, expectation, sentAtMs} = running;
    // A cold server is slower than later; what it does says nothing about its speed.
    if (expectation.workFactor !== undefined && server.coldUntilMs <= sentAtMs) {
      const {firstEventMs: expectedMs, workFactor} = expectation;
      const time = {promptTokens, expectedMs, workFactor, tookMs: nowMs - sentAtMs};
      this.logFactorChange(server, this.speeds.addFirstEvent(server.entry, time, nowMs));
    }
    this.firstEventDurations.addDuration(admitted.route.name, nowMs - sentAtMs, nowMs);
    if (admitted.workspace === undefined) return;
    const runningForMs = admitted.route.kind === 'stream' ? 0 : nowMs - sentAtMs;
    this.options.usageLedger.addRequest(
      admitted.workspace,
      this.options.getWallMs() - runningForMs,
    );
  }

  onAttemptEnd(server: KnownServer, outcome: HealthOutcome, nowMs: number): void {
    this.health.addOutcome(server.entry.id, outcome, nowMs);
    if (outcome === 'unreachable') this.options.reachability.addFailure(server, nowMs);
  }

  checkQuarantine(admitted: AdmittedRequest, nowMs: number): QuarantineCheck {
    return this.options.quarantine.check(toSuspectRequest(admitted), nowMs);
  }

  onAnswered(admitted: AdmittedRequest, answer: Answer): void {
    this.options.quarantine.addAnswer(toSuspectRequest(admitted), answer);
  }

  onLost(admitted: AdmittedRequest, attempt: LostAttempt): void {
    const {server, sinceSentMs, sinceFirstEventMs, message} = attempt;
    const request = toSuspectRequest(admitted);
    this.options.quarantine.addLost({request, server, sinceFirstEventMs});
    this.options.events.log('attempt lost', {
      request: admitted.request.id,
      server: server.entry.id,
      service: admitted.service,
      sinceSentMs: Math.round(sinceSentMs),
      sinceFirstEventMs:
        sinceFirstEventMs === undefined ? undefined : Math.round(sinceFirstEventMs),
      promptParts: admitted.request.promptParts.map(({id}) => id).join(),
      message,
    });
  }

  onMeasured(admitted: AdmittedRequest, measurement: AttemptMeasurement, nowMs: number): void {
    const {service, route} = admitted;
    const {server, promptTokens, hasFailed, isConnectionLost} = measurement;
    const {catalog, rollouts, evidence, loads, getWallMs} = this.options;
    if (promptTokens > 0 && !hasFailed && server.coldUntilMs <= nowMs) {
      this.speeds.addDuration(server.entry, measurement.durationMs, nowMs);
    }
    const order = catalog.rollouts.get(service);
    if (!order || !rollouts.isRunning(service) || server.entry.isDraining) return;
    const isComparable =
      server.coldUntilMs <= nowMs && nowMs - server.firstSeenAtMs >= WARM_UP_MS && !hasFailed;
    evidence.addSample(
      {
        rolloutKey: getRolloutKey(service, order.targetVersion),
        isTarget: server.entry.softwareVersion === order.targetVersion,
        routeKey: getTextKey(route.name),
        loadBand: getLoadBand(
          loads.getLoad(server.entry.id, nowMs).openRequests,
          server.entry.slots,
        ),
        prefillBand: getPrefillBand(promptTokens),
        lostServerKey: isConnectionLost ? getTextKey(String(getServerStartKey(server.entry))) : 0,
        hasFailed,
        firstEventMs: isComparable ? measurement.firstEventMs : undefined,
        interEventMs: isComparable ? measurement.interEventMs : undefined,
      },
      getWallMs(),
    );
  }

  onClosed(server: KnownServer): void {
    this.options.loads.removeRequest(server.entry.id);
    this.options.reachability.removeAttempt(server);
  }

  private applyWorkFactor({entry}: KnownServer, head: BackendHead, nowMs: number): void {
    if (head.isMisdirected || head.load?.workFactor === undefined) return;
    const change = this.speeds.addReport(entry, head.load.workFactor, nowMs);
    this.logFactorChange({entry}, change);
  }

  private logFactorChange(
    {entry}: Pick<KnownServer, 'entry'>,
    change: FactorChange | undefined,
  ): void {
    if (!change) return;
    const {id: server, service} = entry;
    const [before, after] = [change.before, change.after].map(toPercent);
    this.options.events.log('server speed', {server, service, before, after});
  }

  private applyPause({entry}: KnownServer, {pauseMs}: BackendHead, nowMs: number): void {
    if (pauseMs === undefined) return;
    this.pauses.addPause(entry, pauseMs, nowMs);
    const {id: server, service} = entry;
    this.options.events.log('server paused', {server, service, pauseMs: Math.round(pauseMs)});
  }

  private applyBrittleness({entry}: KnownServer, head: BackendHead, nowMs: number): void {
    if (head.isMisdirected || (!head.isSigned && !head.isNotRun)) return;
    const {refusalsPerSecond} = head;
    const before = this.brittleServers.getRefusalsPerSecond(entry, nowMs);
    this.brittleServers.applyResponse(entry, refusalsPerSecond, head.isNotRun, nowMs);
    if ((before === undefined) === (refusalsPerSecond === undefined)) return;
    const {id: server, service} = entry;
    this.options.events.log('brittle server', {server, service, refusalsPerSecond});
  }

  /** Returns the time for which a server wants nothing of this gateway, or is likely to refuse it and crash. */
  private getPauseMs({entry}: KnownServer, nowMs: number): number {
    const pauseMs = this.pauses.getRemainingMs(entry, nowMs);
    if (this.brittleServers.getRefusalsPerSecond(entry, nowMs) === undefined) return pauseMs;
    const {loads} = this.options;
    const load = {
      openRequests: loads.getLoad(entry.id, nowMs).openRequests,
      ownRequests: loads.getOwnOpenRequests(entry.id),
      ownSlots: this.getOwnSlots(entry, nowMs),
    };
    return Math.max(pauseMs, this.brittleServers.getPauseMs(entry, load, nowMs));
  }

  /** Returns this gateway's part of a server's slots; the parts of all gateways are whole numbers and add up. */
  private getOwnSlots({id, slots}: ServerEntry, nowMs: number): number {
    const gatewayIds = this.options.getGatewayIds(nowMs);
    const remainder = slots % gatewayIds.length;
    const hasOneMore =
      remainder > 0 && this.slotShares.getLimit(id, remainder, gatewayIds) !== undefined;
    return Math.floor(slots / gatewayIds.length) + (hasOneMore ? 1 : 0);
  }

  private applyLeaving({entry}: KnownServer, {isLeaving}: BackendHead, nowMs: number): void {
    if (!isLeaving) return;
    const {catalog, events, onServerLeaving} = this.options;
    const change = catalog.servers.applyDeparture(entry, 'draining', nowMs);
    if (change === 'same') return;
    const {id: server, service, failureDomain} = entry;
    events.log('backend server', {server, change, service, failureDomain, toldBy: server});
    onServerLeaving();
  }

  /** A response of a server that rejected the request says nothing if it names no limit. */
  private applyRequestLimit(server: KnownServer, head: BackendHead, nowMs: number): void {
    if (head.isMisdirected) return;
    if (head.requestLimit === undefined && !head.isSigned) return;
    this.options.serverLimits.applyResponse(server, head.requestLimit, nowMs);
  }

  /** Returns the available servers in regions that all non-empty lists of home regions allow. */
  private getAllowedServers({service, homeRegions}: AdmittedRequest): readonly KnownServer[] {
    const {catalog, settings} = this.options;
    const servers = catalog.servers.getAvailableServers(service, catalog.evacuatedDomains);
    const regionLists = homeRegions.filter(regions => regions.length > 0);
    if (regionLists.length === 0) return servers;
    return servers.filter(({entry}) => {
      const region = settings.regionByDomain.get(entry.failureDomain) ?? '';
      return regionLists.every(regions => regions.includes(region));
    });
  }

  /** Returns whether the rate limit of a cold server allows another request; a warm server has no such limit. */
  private hasColdCapacity(
    server: KnownServer,
    service: Service | undefined,
    nowMs: number,
  ): boolean {
    if (server.coldUntilMs <= nowMs) return true;
    if (!service || service.coldRequestsPerSecond <= 0) return true;
    if (!this.options.isFleetKnown(nowMs)) return false;
    const limit = this.getColdShare(server, service, nowMs);
    return limit !== undefined && this.coldLimiter.hasCapacity(server.entry.id, limit, nowMs);
  }

  /** Returns this gateway's part of a cold server's limit; undefined if it has none or the service has no limit. */
  private getColdShare(
    {entry}: KnownServer,
    service: Service | undefined,
    nowMs: number,
  ): RateShare | undefined {
    if (!service || service.coldRequestsPerSecond <= 0) return undefined;
    const gatewayIds = this.options.getGatewayIds(nowMs);
    return this.coldShares.getLimit(entry.id, service.coldRequestsPerSecond, gatewayIds);
  }

  private getGatewayCount(nowMs: number): number {
    return this.options.getGatewayIds(nowMs).length;
  }

  private getService(name: string): Service | undefined {
    return this.options.catalog.routeTable?.configuration.services.get(name);
  }

  /** Returns this gateway's part of the retries that are allowed whatever the number of first attempts. */
  private getMinRetries(nowMs: number): number {
    const {settings, isFleetKnown} = this.options;
    if (!isFleetKnown(nowMs)) return 0;
    return Math.floor((settings.retrySlack * USABLE_SLACK_SHARE) / this.getGatewayCount(nowMs));
  }

  private getRetryBudget(service: string): RetryBudget {
    const existing = this.retryBudgets.get(service);
    if (existing) return existing;
    const {settings} = this.options;
    const budget = new RetryBudget({
      windowMs: settings.retryWindowMs,
      sharePercent: settings.retryShare * PERCENT,
      minRetries: 0,
    });
    this.retryBudgets.set(service, budget);
    return budget;
  }
}

function toPercent(factor: number): number {
  return Math.round(factor * PERCENT);
}

function toSuspectRequest({service, workspace, request}: AdmittedRequest): SuspectRequest {
  const {method, path, body, promptParts} = request;
  const promptPartIds = promptParts.map(({id}) => id);
  return {service, workspace, method, path, body, promptPartIds};
}
