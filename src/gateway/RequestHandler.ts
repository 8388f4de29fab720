/** Admits or refuses callers' requests, runs them at backend servers, and logs what became of them. */
import type {Catalog, Route, Workspace} from '../catalog/index.js';
import {canEndBeforeStop} from '../controllers/drain/index.js';
import type {QuotaLedger} from '../controllers/quotas/index.js';
import {
  ExchangeRun,
  RETRY_ELSEWHERE_MS,
  checkRequest,
  type AdmittedRequest,
  type BackendTransport,
  type RefusalKind,
  type RequestCheck,
  type ResponseSink,
  type RunOutcome,
  type RunServices,
  type ServingRequest,
} from '../exchange/index.js';
import type {MemberTable} from '../gossip/index.js';
import type {EventLogger} from '../logging/index.js';
import type {GatewayMetrics} from './GatewayMetrics.js';
import {RecentDurations} from '../utils/index.js';
import type {RequestQueue} from './RequestQueue.js';
import type {RequestForwarder} from './RequestForwarder.js';
import type {ServerReachability} from './ServerReachability.js';
import {StartGate} from './StartGate.js';

/** Constructor options of `RequestHandler`. */
export interface RequestHandlerOptions {
  /** Longest time for which a revoked key may still be accepted. */
  readonly revocationMs: number;
  readonly catalog: Catalog;
  readonly transport: BackendTransport;
  readonly services: RunServices;
  readonly members: MemberTable;
  readonly quotaLedger: QuotaLedger;
  readonly metrics: GatewayMetrics;
  readonly events: EventLogger;
  readonly queue: RequestQueue;
  readonly forwarder: RequestForwarder;
  readonly reachability: Pick<ServerReachability, 'isCutOff' | 'reachesAny'>;
  /** Returns the time since the operators' records were last certainly complete. */
  readonly getConfigurationProofAgeMs: () => number;
  /** Returns the monotonic time in milliseconds. */
  readonly getNowMs: () => number;
  /** Returns a random number from 0 to less than 1. */
  readonly random: () => number;
}

/** Handle of a request in progress. */
export interface OpenRequest {
  /** Cancels the request because its caller has disconnected. */
  abandon(): void;
}

/**
 * Age of the operators' records, as a share of `revocationMs`, above which requests are refused: keys may be revoked.
 */
const MAX_CONFIGURATION_AGE_SHARE = 0.95;
/** Long enough to contain requests of a kind that is rare on its route. */
const MIN_REMEMBERED_MS = 60_000;
/** Least time after which callers retry if no gateway reaches the servers; such outages last for seconds. */
const OUTAGE_RETRY_MS = 1_000;
const REFUSED_REQUEST: OpenRequest = {abandon: () => undefined};

/** Result of a request that wasn't sent to a server. */
const UNSENT_OUTCOME = {
  status: undefined,
  attempts: 0,
  serverId: undefined,
  softwareVersion: undefined,
  hasRun: false,
  firstEventMs: undefined,
} as const;

/** Monotonic times of a stop of the process. */
interface PlannedStop {
  /** When the process was asked to stop. */
  readonly beganAtMs: number;
  /** When open requests are ended. */
  readonly endsRequestsAtMs: number;
}

/** All requests of one gateway that are in progress. */
export class RequestHandler {
  private readonly options: RequestHandlerOptions;
  private readonly runs = new Set<ExchangeRun>();
  private readonly startGate: StartGate;
  /** By route: times from the arrival of a request to the end of its response. */
  private readonly durations = new RecentDurations({minRememberedMs: MIN_REMEMBERED_MS});
  /** Undefined if the process isn't stopping. */
  private stop: PlannedStop | undefined;

  constructor(options: RequestHandlerOptions) {
    this.options = options;
    const {catalog, getNowMs} = options;
    this.startGate = new StartGate({
      isDeploymentKnown: () =>
        catalog.routeTable !== undefined && catalog.getRegistrationsAgeMs(getNowMs()) < Infinity,
      getNowMs,
    });
  }

  /** Number of requests in progress. */
  get openRequests(): number {
    return this.runs.size + this.options.queue.size + this.options.forwarder.size;
  }

  /** Returns whether the configuration is recent enough to admit requests: keys may be revoked. */
  isConfigurationCurrent(): boolean {
    return this.getConfigurationAgeMs() <= this.getMaxConfigurationAgeMs();
  }

  /**
   * Refuses from now on requests that can't end before the process stops.
   * @param endsRequestsAtMs - Monotonic time at which `endOpenRequests` will be called.
   */
  beginStop(endsRequestsAtMs: number): void {
    this.stop = {beganAtMs: this.options.getNowMs(), endsRequestsAtMs};
    this.options.queue.refuseAll();
  }

  /** Ends all requests in progress with an error, since the process is about to exit. */
  endOpenRequests(): void {
    this.options.queue.refuseAll();
    for (const run of [...this.runs]) run.stop();
    this.options.forwarder.endAll();
  }

  /**
   * Serves a request, or holds it for a short time if the process has just started.
   * @param request - Admitted or refused by the configuration in force when the request is served.
   * @param sink - Receives the response or the refusal.
   */
  accept(request: ServingRequest, sink: ResponseSink): OpenRequest {
    let open: OpenRequest | undefined;
    let isAbandoned = false;
    this.startGate.admit(() => {
      if (!isAbandoned) open = this.serve(request, sink);
    });
    return {
      abandon: () => {
        isAbandoned = true;
        open?.abandon();
      },
    };
  }

  private serve(request: ServingRequest, sink: ResponseSink): OpenRequest {
    const nowMs = this.options.getNowMs();
    const check = this.check(request);
    if (check.kind === 'refused') {
      sink.refuse(check.refusal);
      this.logRefusal(request, check.refusal.kind, undefined);
      return REFUSED_REQUEST;
    }
    const {route, workspace} = check;
    if (this.options.reachability.isCutOff) {
      const forwarded = this.serveCutOff(request, route, workspace, sink);
      if (forwarded) return forwarded;
    }
    const retryAfterMs = this.consumeQuota(workspace, request, nowMs);
    if (retryAfterMs !== undefined) {
      sink.refuse({kind: 'over-allotment', isNotRun: true, retryAfterMs});
      this.logRefusal(request, 'over-allotment', workspace?.name);
      return REFUSED_REQUEST;
    }
    return this.run(request, route, workspace, sink);
  }

  /**
   * Passes a request on to another gateway, which charges it. If none can take it, or if it has been passed on already,
   * it is refused at once, unless some servers are in reach; then undefined is returned, and it is to be run here.
   */
  private serveCutOff(
    request: ServingRequest,
    route: Route,
    workspace: Workspace | undefined,
    sink: ResponseSink,
  ): OpenRequest | undefined {
    const {forwarder, reachability} = this.options;
    const homeRegions = [route.homeRegions, workspace?.homeRegions ?? []];
    if (!request.isForwarded && forwarder.canForward({homeRegions})) {
      const deadlineAtMs = request.receivedAtMs + getMaxWaitMs(request, route);
      return forwarder.forward({request, homeRegions, deadlineAtMs, sink});
    }
    if (!request.isForwarded && reachability.reachesAny) return undefined;
    const retryAfterMs = request.isForwarded ? RETRY_ELSEWHERE_MS : this.getOutageRetryMs();
    sink.refuse({kind: 'no-server', isNotRun: true, retryAfterMs});
    this.logRefusal(request, 'no-server', workspace?.name);
    return REFUSED_REQUEST;
  }

  /** Callers come back over the same time again, as no gateway would serve them earlier. */
  private getOutageRetryMs(): number {
    return OUTAGE_RETRY_MS * (1 + this.options.random());
  }

  private check(request: ServingRequest): RequestCheck {
    const check = checkRequest(this.options.catalog, request, {
      configurationAgeMs: this.getConfigurationAgeMs(),
      maxConfigurationAgeMs: this.getMaxConfigurationAgeMs(),
    });
    if (check.kind === 'refused' || this.canEnd(request, check.route)) return check;
    const refusal = {
      kind: 'stopping',
      isNotRun: true,
      retryAfterMs: RETRY_ELSEWHERE_MS,
    } as const;
    return {kind: 'refused', refusal};
  }

  /** Returns whether a request can end before the process stops. */
  private canEnd(request: ServingRequest, route: Route): boolean {
    if (this.stop === undefined) return true;
    const nowMs = this.options.getNowMs();
    const view = {
      stopBeganAtMs: this.stop.beganAtMs,
      stopsAtMs: this.stop.endsRequestsAtMs,
      isStream: route.kind === 'stream',
      longestExpectedMs: this.durations.getLongestExpectedMs(route.name, nowMs),
      maxWaitMs: request.receivedAtMs + getMaxWaitMs(request, route) - nowMs,
    };
    return canEndBeforeStop(view, nowMs);
  }

  /** Returns why a request that was admitted earlier isn't any more; undefined if it still is. */
  recheck({request, workspace}: AdmittedRequest): RefusalKind | undefined {
    const check = this.check(request);
    if (check.kind === 'refused') return check.refusal.kind;
    return check.workspace?.name === workspace ? undefined : 'no-key';
  }

  /** Runs a request, now or after it has waited for a slot. */
  private run(
    request: ServingRequest,
    route: Route,
    workspace: Workspace | undefined,
    sink: ResponseSink,
  ): OpenRequest {
    const {queue, services, getNowMs, random} = this.options;
    const admitted: AdmittedRequest = {
      request,
      route,
      service: selectService(route, random),
      workspace: workspace?.name,
      priority: workspace?.priority ?? route.priority,
      homeRegions: [route.homeRegions, workspace?.homeRegions ?? []],
      deadlineAtMs: request.receivedAtMs + getMaxWaitMs(request, route),
    };
    let run: ExchangeRun | undefined;
    const finishUnsent = (kind: 'refused' | 'abandoned', refusal?: RefusalKind, detail?: string) =>
      this.finishRun(request, route, workspace, {
        ...UNSENT_OUTCOME,
        kind,
        refusal,
        totalMs: getNowMs() - request.receivedAtMs,
        detail,
      });
    const refuse = (kind: RefusalKind, retryAfterMs: number | undefined, detail?: string) => {
      sink.refuse({kind, isNotRun: true, retryAfterMs});
      finishUnsent('refused', kind, detail);
    };
    const leave = queue.enter(admitted, {
      start: waitedMs => {
        const refusal = waitedMs > 0 ? this.recheck(admitted) : undefined;
        if (refusal) {
          queue.addEnd(admitted, undefined, waitedMs);
          return refuse(refusal, services.getRetryAfterMs(refusal, admitted));
        }
        run = this.startRun(admitted, workspace, sink, waitedMs);
      },
      refuse: (reason, retryAfterMs) =>
        refuse(reason === 'stopping' ? 'stopping' : 'overloaded', retryAfterMs, reason),
    });
    return {
      abandon: () => {
        if (run) run.abandon();
        else if (leave()) finishUnsent('abandoned');
      },
    };
  }

  /** @param waitedMs - Time in the queue, which isn't part of the service time that the queue learns. */
  private startRun(
    admitted: AdmittedRequest,
    workspace: Workspace | undefined,
    sink: ResponseSink,
    waitedMs: number,
  ): ExchangeRun {
    const {transport, services, queue, getNowMs} = this.options;
    const run: ExchangeRun = new ExchangeRun({
      admitted,
      sink,
      transport,
      services,
      getNowMs,
      onOutcome: outcome => {
        this.runs.delete(run);
        this.finishRun(admitted.request, admitted.route, workspace, outcome);
        queue.addEnd(admitted, outcome, waitedMs);
      },
    });
    this.runs.add(run);
    run.start();
    return run;
  }

  private finishRun(
    request: ServingRequest,
    route: Route,
    workspace: Workspace | undefined,
    outcome: RunOutcome,
  ): void {
    if (outcome.hasRun) {
      this.durations.addDuration(route.name, outcome.totalMs, this.options.getNowMs());
    }
    if (workspace?.quota && !outcome.hasRun) {
      this.options.quotaLedger.refund(workspace.name, getCost(workspace, request));
    }
    this.options.metrics.addOutcome(route.name, workspace?.name, outcome);
    const {kind, status, refusal, attempts, serverId, firstEventMs, totalMs, detail} = outcome;
    const isMoved = route.shares.some(({service}) => this.options.catalog.rollouts.has(service));
    this.options.events.log('request', {
      request: request.id,
      route: route.name,
      workspace: workspace?.name,
      outcome: kind,
      status,
      refusal,
      attempts,
      server: serverId,
      softwareVersion: isMoved ? outcome.softwareVersion : undefined,
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
    const {catalog, events, metrics} = this.options;
    metrics.addRefusal(refusal, workspace);
    events.log('request refused', {
      request: request.id,
      path: request.path,
      workspace,
      refusal,
      version: catalog.routeTable?.configuration.version,
      configurationAgeMs: round(this.options.getConfigurationProofAgeMs()),
    });
  }

  /** Charges the request to its workspace's quota; returns the delay before a retry if the quota is exceeded. */
  private consumeQuota(
    workspace: Workspace | undefined,
    request: ServingRequest,
    nowMs: number,
  ): number | undefined {
    if (!workspace?.quota) return undefined;
    const {members, quotaLedger} = this.options;
    const reach = {
      reportingGateways:
        members.getLiveMembers(nowMs).filter(({isLeaving}) => !isLeaving).length + 1,
      knownGateways: members.getKnownCount(nowMs) + 1,
    };
    const cost = getCost(workspace, request);
    const {name, quota} = workspace;
    const decision = quotaLedger.admit(name, quota, cost, reach, nowMs);
    return decision.kind === 'over' ? decision.retryAfterMs : undefined;
  }

  /** Returns the time since the configuration was certainly the newest one; infinite if it certainly isn't any more. */
  private getConfigurationAgeMs(): number {
    const {catalog, getNowMs} = this.options;
    if (catalog.isConfigurationOutdated(getNowMs())) return Infinity;
    return this.options.getConfigurationProofAgeMs();
  }

  private getMaxConfigurationAgeMs(): number {
    return this.options.revocationMs * MAX_CONFIGURATION_AGE_SHARE;
  }
}

/** Selects a service at random, in proportion to the weights of the route. */
function selectService(route: Route, random: () => number): string {
  const total = route.shares.reduce((sum, {weight}) => sum + weight, 0);
  let remaining = random() * total;
  for (const {service, weight} of route.shares) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return route.shares[route.shares.length - 1].service;
}

/** Returns the time from its arrival after which a request is given up. */
function getMaxWaitMs({deadlineMs}: ServingRequest, {timeoutMs}: Route): number {
  return Math.min(deadlineMs ?? timeoutMs, timeoutMs);
}

/** Returns the cost of a request in the unit of its workspace's quota. */
function getCost({quota}: Workspace, {tokens}: ServingRequest): number {
  if (!quota || quota.unit === 'requests') return 1;
  return tokens ?? quota.defaultTokens;
}

function round(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value);
}
