/** One serving process: admits requests, runs them, and tells the other gateways what it does. */
import type {Catalog, Route, Workspace} from '../catalog/index.js';
import {AllotmentLedger} from '../controllers/allotments/index.js';
import {UsageLedger} from '../controllers/duties/index.js';
import {ServerLoads} from '../controllers/placement/index.js';
import {
  ExchangeRun,
  checkRequest,
  type AnswerSink,
  type BackendTransport,
  type RefusalKind,
  type RunOutcome,
  type ServingRequest,
} from '../exchange/index.js';
import {MemberTable, type GatewayMember} from '../gossip/index.js';
import type {EventLogger} from '../logging/index.js';
import {chooseCallerAddresses} from './chooseCallerAddresses.js';
import {compareSettings} from './compareSettings.js';
import {DutyRunner} from './DutyRunner.js';
import {GatewayGossip} from './GatewayGossip.js';
import {GatewayMetrics, type GatewayGauges} from './GatewayMetrics.js';
import {GatewayRunServices} from './GatewayRunServices.js';
import type {GatewaySettings} from './GatewaySettings.js';
import {PeerClock} from './PeerClock.js';
import type {DutyCalls, DutyLog} from './ports.js';
import {SharedReadings} from './SharedReadings.js';
import {StartGate} from './StartGate.js';

/** Options of a `Gateway`. */
export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly catalog: Catalog;
  readonly transport: BackendTransport;
  readonly dutyCalls: DutyCalls;
  readonly dutyLog: DutyLog;
  readonly events: EventLogger;
  readonly metrics: GatewayMetrics;
  readonly getNowMs: () => number;
  readonly getWallMs: () => number;
  readonly random: () => number;
}

/** A request that is under way. */
export interface OpenRequest {
  /** Ends the request, since its caller has left. */
  abandon(): void;
}

const DUTY_INTERVAL_MS = 400;
/** A gateway that is silent for longer gets no callers. */
const SILENT_AFTER_MS = 900;
/** A gateway that is silent for longer is taken not to run any more. */
const GONE_AFTER_MS = 8_000;
/** Part of the revocation bound after which keys are not honoured without news. */
const CURRENCY_SHARE = 0.8;
/** Age of the registrations beyond which a gateway doesn't call itself ready. */
const MAX_SERVERS_AGE_MS = 20_000;
const CLOSED: OpenRequest = {abandon: () => undefined};

/** A gateway without its sockets for callers, which an adapter opens. */
export class Gateway {
  private readonly options: GatewayOptions;
  private readonly members: MemberTable;
  private readonly gossip: GatewayGossip;
  /** What the gateways read of the deployment's logs for each other. */
  readonly readings: SharedReadings;
  private readonly loads = new ServerLoads();
  private readonly allotments: AllotmentLedger;
  private readonly usage: UsageLedger;
  private readonly services: GatewayRunServices;
  private readonly duties: DutyRunner;
  private dutyTimer: NodeJS.Timeout | undefined;
  private readonly startedAtMs: number;
  private readonly runs = new Set<ExchangeRun>();
  private readonly startGate: StartGate;
  private isStopping = false;

  constructor(options: GatewayOptions) {
    const {settings, catalog, events, getNowMs, getWallMs, random} = options;
    this.options = options;
    this.startedAtMs = getNowMs();
    const clock = new PeerClock({getWallMs, getNowMs});
    const describeSelf = () => this.describeSelf();
    this.members = new MemberTable(settings.id, {
      silentAfterMs: SILENT_AFTER_MS,
      goneAfterMs: GONE_AFTER_MS,
    });
    this.allotments = new AllotmentLedger({
      beginsFull: settings.isFirstStart,
      toleratedShare: settings.allotmentToleratedShare,
    });
    this.usage = new UsageLedger(settings.usageWindowSeconds);
    this.services = new GatewayRunServices({
      settings,
      catalog,
      loads: this.loads,
      usage: this.usage,
      getGateways: nowMs => this.members.getKnownCount(nowMs) + 1,
      getNowMs,
      getWallMs: () => clock.getWallMs(),
      random,
    });
    this.readings = new SharedReadings({catalog, members: this.members, events, describeSelf});
    this.startGate = new StartGate({
      isInformed: () =>
        catalog.table !== undefined && catalog.getServersAgeMs(getNowMs()) < Infinity,
      getNowMs,
    });
    this.duties = new DutyRunner({
      settings,
      catalog,
      members: this.members,
      ledger: this.usage,
      calls: options.dutyCalls,
      log: options.dutyLog,
      events,
      isReady: () => this.isReady(),
      getNowMs,
      getWallMs: () => clock.getWallMs(),
    });
    this.gossip = new GatewayGossip({
      settings,
      catalog,
      members: this.members,
      loads: this.loads,
      allotments: this.allotments,
      usage: this.usage,
      duties: this.duties,
      readings: this.readings,
      clock,
      events,
      describeSelf,
      getNowMs,
    });
  }

  /** Opens the socket to the other gateways and starts the periodic work. */
  async start(): Promise<void> {
    await this.gossip.start();
    this.dutyTimer = setInterval(() => this.runDuties(), DUTY_INTERVAL_MS);
  }

  /**
   * Applies what can be applied of changed settings, and logs what can't.
   * @param settings - The changed settings.
   */
  reload(settings: GatewaySettings): void {
    const {applied, needRestart} = compareSettings(this.options.settings, settings);
    this.gossip.setSeeds(settings.gossipSeeds);
    this.options.events.log('settings reloaded', {
      applied: applied.join(),
      needRestart: needRestart.join(),
    });
  }

  /** Tells the others at once what has changed here. */
  tellOthers(): void {
    this.gossip.tell();
  }

  /** Tells the others that this gateway leaves; requests under way go on. */
  beginStop(): void {
    this.isStopping = true;
    this.gossip.tell();
  }

  /** Ends the periodic work. */
  close(): void {
    clearInterval(this.dutyTimer);
    this.gossip.close();
  }

  /**
   * Returns what the metrics show.
   * @param droppedLogLines - Log lines dropped since the start, since nobody read them.
   * @param leftOutLogLines - Log lines left out since the start, since their event came too often.
   */
  getGauges(droppedLogLines: number, leftOutLogLines: number): GatewayGauges {
    const {catalog, getNowMs, settings} = this.options;
    const nowMs = getNowMs();
    return {
      openRequests: this.runs.size,
      configurationVersion: catalog.table?.configuration.version ?? 0,
      configurationAgeMs: catalog.getOperatorAgeMs(nowMs),
      registrationsAgeMs: catalog.getServersAgeMs(nowMs),
      gatewaysHeard: this.members.getHeard(nowMs).length,
      gatewaysKnown: this.members.getKnownCount(nowMs),
      backendServers: catalog.servers.getServers().length,
      dutyToken: this.duties.claim.token,
      isDutyHolder: this.duties.claim.holderId === settings.id,
      droppedLogLines,
      leftOutLogLines,
    };
  }

  /** Returns the number of requests under way. */
  getOpenRequests(): number {
    return this.runs.size;
  }

  /** Returns whether this gateway serves new callers. */
  isReady(): boolean {
    const {catalog, getNowMs} = this.options;
    if (this.isStopping || !catalog.table) return false;
    const nowMs = getNowMs();
    return (
      catalog.getOperatorAgeMs(nowMs) <= this.getMaxConfigurationAgeMs() &&
      catalog.getServersAgeMs(nowMs) <= MAX_SERVERS_AGE_MS
    );
  }

  /** Whether the process has been asked to stop. */
  get isLeaving(): boolean {
    return this.isStopping;
  }

  /**
   * Returns the addresses that a caller may use.
   * @param callerDomain - The caller's failure domain; undefined where it doesn't say.
   */
  getCallerAddresses(callerDomain: string | undefined): readonly string[] {
    const own = this.describeSelf();
    const ready = [own, ...this.members.getHeard(this.options.getNowMs())].filter(
      member => member.isReady && !member.isLeaving,
    );
    const {regionByDomain} = this.options.settings;
    return chooseCallerAddresses(ready, callerDomain, domain => regionByDomain.get(domain));
  }

  /**
   * Serves a request.
   * @param request - The request.
   * @param sink - Where its answer goes.
   */
  accept(request: ServingRequest, sink: AnswerSink): OpenRequest {
    let open: OpenRequest | undefined;
    let isAbandoned = false;
    this.startGate.pass(() => {
      if (!isAbandoned) open = this.serve(request, sink);
    });
    return {
      abandon: () => {
        isAbandoned = true;
        open?.abandon();
      },
    };
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
    };
  }

  private serve(request: ServingRequest, sink: AnswerSink): OpenRequest {
    const {catalog, getNowMs} = this.options;
    const nowMs = getNowMs();
    const maxConfigurationAgeMs = this.getMaxConfigurationAgeMs();
    const check = checkRequest(catalog, request, {maxConfigurationAgeMs}, nowMs);
    if (check.kind === 'refused') {
      sink.refuse(check.refusal);
      this.logRefusal(request, check.refusal.kind, undefined);
      return CLOSED;
    }
    const {route, workspace} = check;
    const retryAfterMs = this.takeAllotment(workspace, request, nowMs);
    if (retryAfterMs !== undefined) {
      sink.refuse({kind: 'over-allotment', isNotRun: true, retryAfterMs});
      this.logRefusal(request, 'over-allotment', workspace?.name);
      return CLOSED;
    }
    return this.run(request, route, workspace, sink);
  }

  private run(
    request: ServingRequest,
    route: Route,
    workspace: Workspace | undefined,
    sink: AnswerSink,
  ): OpenRequest {
    const {transport, getNowMs, random} = this.options;
    const waitMs = Math.min(request.deadlineMs ?? route.timeoutMs, route.timeoutMs);
    const run: ExchangeRun = new ExchangeRun({
      admitted: {
        request,
        route,
        service: drawService(route, random),
        workspace: workspace?.name,
        priority: workspace?.priority ?? route.priority,
        homeRegions: [route.homeRegions, workspace?.homeRegions ?? []],
        deadlineAtMs: request.receivedAtMs + waitMs,
      },
      sink,
      transport,
      services: this.services,
      getNowMs,
      onOutcome: outcome => this.endRun(run, request, route, workspace, outcome),
    });
    this.runs.add(run);
    run.start();
    return run;
  }

  private endRun(
    run: ExchangeRun,
    request: ServingRequest,
    route: Route,
    workspace: Workspace | undefined,
    outcome: RunOutcome,
  ): void {
    this.runs.delete(run);
    if (workspace?.allotment && !outcome.hasRun) {
      this.allotments.giveBack(workspace.name, getCost(workspace, request));
    }
    this.options.metrics.addOutcome(route.name, workspace?.name, outcome);
    const {kind, status, refusal, attempts, serverId, firstEventMs, totalMs, detail} = outcome;
    this.options.events.log('request', {
      request: request.id,
      route: route.name,
      workspace: workspace?.name,
      outcome: kind,
      status,
      refusal,
      attempts,
      server: serverId,
      firstEventMs: round(firstEventMs),
      totalMs: round(totalMs),
      detail,
    });
  }

  private logRefusal(
    request: ServingRequest,
    refusal: RefusalKind,
    workspace: string | undefined,
  ): void {
    const {catalog, events, metrics, getNowMs} = this.options;
    metrics.addRefusal(refusal, workspace);
    events.log('request refused', {
      request: request.id,
      path: request.path,
      workspace,
      refusal,
      version: catalog.table?.configuration.version,
      configurationAgeMs: round(catalog.getOperatorAgeMs(getNowMs())),
    });
  }

  /** Returns when to come back where the request is over its workspace's allotment. */
  private takeAllotment(
    workspace: Workspace | undefined,
    request: ServingRequest,
    nowMs: number,
  ): number | undefined {
    if (!workspace?.allotment) return undefined;
    const reach = {
      heard: this.members.getHeard(nowMs).filter(({isLeaving}) => !isLeaving).length + 1,
      known: this.members.getKnownCount(nowMs) + 1,
    };
    const cost = getCost(workspace, request);
    const {name, allotment} = workspace;
    const decision = this.allotments.admit(name, allotment, cost, reach, nowMs);
    return decision.kind === 'over' ? decision.retryAfterMs : undefined;
  }

  private getMaxConfigurationAgeMs(): number {
    return this.options.settings.revocationMs * CURRENCY_SHARE;
  }

  private runDuties(): void {
    this.duties.tick(this.startedAtMs).catch((error: unknown) => {
      this.options.events.log('duties failed', {error: String(error)});
    });
  }
}

function drawService(route: Route, random: () => number): string {
  const total = route.shares.reduce((sum, {weight}) => sum + weight, 0);
  let drawn = random() * total;
  for (const {service, weight} of route.shares) {
    drawn -= weight;
    if (drawn < 0) return service;
  }
  return route.shares[route.shares.length - 1].service;
}

function getCost({allotment}: Workspace, {tokens}: ServingRequest): number {
  if (!allotment || allotment.unit === 'requests') return 1;
  return tokens ?? allotment.plainTokens;
}

function round(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value);
}
