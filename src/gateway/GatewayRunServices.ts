/** Placement, retry budget and observations of a gateway's runs. */
import type {Catalog, KnownServer, Service} from '../catalog/index.js';
import type {UsageLedger} from '../controllers/duties/index.js';
import {
  ColdGate,
  ServerHealth,
  choosePlacement,
  type ColdLimit,
  type HealthOutcome,
  type PlacementDecision,
  type ServerLoads,
} from '../controllers/placement/index.js';
import {RetryBudget} from '../controllers/retry/index.js';
import type {AdmittedRequest, BackendHead, RefusalKind, RunServices} from '../exchange/index.js';
import type {GatewaySettings} from './GatewaySettings.js';

/** Options of a `GatewayRunServices`. */
export interface GatewayRunServicesOptions {
  readonly settings: GatewaySettings;
  readonly catalog: Catalog;
  readonly loads: ServerLoads;
  readonly usage: UsageLedger;
  /** Returns how many gateways may be sending, this one included. */
  readonly getGateways: (nowMs: number) => number;
  readonly getNowMs: () => number;
  readonly getWallMs: () => number;
  readonly random: () => number;
}

const PERCENT = 100;
/** Part of the common slack of retries that is used; the rest covers gateways that come and go. */
const USED_SLACK_SHARE = 0.6;
const DEFAULT_MAX_CONNECTIONS = 100;
/** Base of the time after which a caller may come back; a random part as long is added, to spread the return. */
const RETRY_AFTER_MS: Readonly<Partial<Record<RefusalKind, number>>> = {
  'no-server': 300,
  'backend-refused': 300,
  overloaded: 500,
  timeout: 100,
};
const DEFAULT_RETRY_AFTER_MS = 200;

/** What the runs of one gateway share. */
export class GatewayRunServices implements RunServices {
  private readonly options: GatewayRunServicesOptions;
  private readonly health = new ServerHealth();
  private readonly coldGate = new ColdGate();
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(options: GatewayRunServicesOptions) {
    this.options = options;
  }

  choose(
    admitted: AdmittedRequest,
    triedIds: ReadonlySet<string>,
    nowMs: number,
  ): PlacementDecision {
    const {loads, random} = this.options;
    const service = this.getService(admitted.service);
    return choosePlacement(
      {
        servers: this.getAllowedServers(admitted),
        getLoad: serverId => loads.getLoad(serverId, nowMs),
        getFailureShare: serverId => this.health.getFailureShare(serverId, nowMs),
        isAvoided: serverId => this.health.isAvoided(serverId, nowMs),
        hasColdRoom: server => this.hasColdRoom(server, service, nowMs),
      },
      {promptParts: admitted.request.promptParts, triedIds},
      random,
    );
  }

  takeRetry(service: string, nowMs: number): boolean {
    const budget = this.getBudget(service);
    if (!budget.hasRetry(nowMs)) return false;
    budget.addRetry(nowMs);
    return true;
  }

  getMaxConnections(service: string): number {
    const total = this.getService(service)?.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
    return Math.max(1, Math.floor(total / this.options.getGateways(this.options.getNowMs())));
  }

  getRetryAfterMs(refusal: RefusalKind): number {
    const baseMs = RETRY_AFTER_MS[refusal] ?? DEFAULT_RETRY_AFTER_MS;
    return baseMs * (1 + this.options.random());
  }

  onSent(
    admitted: AdmittedRequest,
    server: KnownServer,
    promptTokens: number,
    attempt: number,
    nowMs: number,
  ): void {
    if (attempt === 1) this.getBudget(admitted.service).addFirstTry(nowMs);
    this.options.loads.addRequest(server.entry.id, promptTokens);
    if (server.coldUntilMs <= nowMs) return;
    const limit = this.getColdLimit(this.getService(admitted.service), nowMs);
    if (limit) this.coldGate.addRequest(server.entry.id, limit, nowMs);
  }

  onHead(server: KnownServer, head: BackendHead, nowMs: number): void {
    if (head.isMisdirected) this.options.catalog.servers.removeServer(server.entry.id, nowMs);
    else if (head.coldMs !== undefined && head.coldMs > 0) {
      this.options.catalog.servers.markCold(server.entry.id, nowMs + head.coldMs);
    }
  }

  onPromptRead(server: KnownServer, promptTokens: number): void {
    this.options.loads.endPrompt(server.entry.id, promptTokens);
  }

  onRunning(admitted: AdmittedRequest, sentAtMs: number, nowMs: number): void {
    if (admitted.workspace === undefined) return;
    const begunAgoMs = admitted.route.kind === 'stream' ? 0 : nowMs - sentAtMs;
    this.options.usage.addRequest(admitted.workspace, this.options.getWallMs() - begunAgoMs);
  }

  onTryEnd(server: KnownServer, outcome: HealthOutcome, nowMs: number): void {
    this.health.addOutcome(server.entry.id, outcome, nowMs);
  }

  onClosed(server: KnownServer): void {
    this.options.loads.endRequest(server.entry.id);
  }

  private getAllowedServers({service, homeRegions}: AdmittedRequest): readonly KnownServer[] {
    const {catalog, settings} = this.options;
    const servers = catalog.servers.getOpenServers(service, catalog.evacuatedDomains);
    const lists = homeRegions.filter(regions => regions.length > 0);
    if (lists.length === 0) return servers;
    return servers.filter(({entry}) => {
      const region = settings.regionByDomain.get(entry.failureDomain) ?? '';
      return lists.every(regions => regions.includes(region));
    });
  }

  private hasColdRoom(server: KnownServer, service: Service | undefined, nowMs: number): boolean {
    if (server.coldUntilMs <= nowMs) return true;
    const limit = this.getColdLimit(service, nowMs);
    return !limit || this.coldGate.hasRoom(server.entry.id, limit, nowMs);
  }

  private getColdLimit(service: Service | undefined, nowMs: number): ColdLimit | undefined {
    if (!service || service.coldRequestsPerSecond <= 0) return undefined;
    return {
      requestsPerSecond: service.coldRequestsPerSecond,
      gateways: this.options.getGateways(nowMs),
    };
  }

  private getService(name: string): Service | undefined {
    return this.options.catalog.table?.configuration.services.get(name);
  }

  private getBudget(service: string): RetryBudget {
    const found = this.budgets.get(service);
    if (found) return found;
    const {settings, getGateways, getNowMs} = this.options;
    const slack = (settings.retrySlack * USED_SLACK_SHARE) / getGateways(getNowMs());
    const created = new RetryBudget({
      windowMs: settings.retryWindowMs,
      sharePercent: settings.retryShare * PERCENT,
      minRetries: Math.floor(slack),
    });
    this.budgets.set(service, created);
    return created;
  }
}
