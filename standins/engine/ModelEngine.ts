/** Stand-in for a model engine: OpenAI-compatible API over a simulation of continuous batching. */
import {setTimeout as sleep} from 'node:timers/promises';
import {BackendLifecycle, type BackendIdentity} from '../backend/index.js';
import {isVersionBad, type Faults} from '../faults/index.js';
import {StandinServer, type Exchange, type Route} from '../http/index.js';
import {RunLedger} from '../ledger/index.js';
import {CompletionWriter} from './CompletionWriter.js';
import {CacheEventLog} from './CacheEventLog.js';
import {
  parseChatRequest,
  parseCompletionRequest,
  type CompletionRequest,
} from './CompletionRequest.js';
import type {EngineProfile} from './EngineProfile.js';
import {EngineRuns} from './EngineRuns.js';
import {EngineScheduler} from './EngineScheduler.js';
import {EngineWarmth} from './EngineWarmth.js';
import {createKvRoutes} from './kvRoutes.js';
import {KvTransfers} from './KvTransfers.js';
import {OrderLedger, orderSchema} from './OrderLedger.js';
import {PrefixCache} from './PrefixCache.js';

/** Options of a `ModelEngine`. */
export interface ModelEngineOptions {
  readonly address: string;
  readonly port: number;
  readonly identity: BackendIdentity;
  readonly listUrl?: string;
  /** File that also receives the ledger; absent for none. */
  readonly ledgerPath?: string;
  readonly profile: EngineProfile;
  readonly isColdAtStart: boolean;
  readonly honoursFencingTokens: boolean;
  /** Whether the KV cache can be exported; defaults to true. */
  readonly exportsKv?: boolean;
  /** Interval between updates of the load report, and so its maximum age. */
  readonly loadLagMs: number;
  /** Delay until a cache event is published. */
  readonly cacheEventDelayMs: number;
  /** Duration of loading a version. */
  readonly loadVersionMs: number;
  /** Returns a number from 0 (inclusive) to 1 (exclusive), which decides which calls a fault affects. */
  readonly random: () => number;
  /** Called after the engine crashed or its instance was removed, when all its connections are closed. */
  readonly onDown: (reason: 'crashed' | 'instance-removed') => void;
}

/** Serves one version of one model until an order loads another version or unloads it. */
export class ModelEngine {
  private readonly options: ModelEngineOptions;
  private readonly server: StandinServer;
  private readonly lifecycle: BackendLifecycle;
  private readonly ledger: RunLedger;
  private readonly warmth: EngineWarmth;
  private readonly events = new CacheEventLog();
  private readonly cache: PrefixCache;
  private readonly scheduler: EngineScheduler;
  private readonly transfers: KvTransfers;
  private readonly orders: OrderLedger;
  private readonly runs: EngineRuns;
  private loadReport: object = {};
  private reportTimer: NodeJS.Timeout | undefined;
  private isServing = true;

  constructor(options: ModelEngineOptions) {
    this.options = options;
    const {profile} = options;
    this.ledger = new RunLedger(options.ledgerPath);
    this.warmth = new EngineWarmth(profile, options.isColdAtStart);
    this.cache = new PrefixCache(profile.cacheTokens, (kind, blockHash) => {
      const isLost = this.server.occursWithChance(this.server.getFaults().cacheEventLossPercent);
      this.events.addEvent(kind, blockHash, isLost, Date.now());
    });
    this.scheduler = new EngineScheduler(profile, this.cache, () =>
      this.warmth.getSlowdownFactor(),
    );
    const {ledger, scheduler, warmth} = this;
    this.runs = new EngineRuns({ledger, scheduler, warmth});
    this.transfers = new KvTransfers(profile, this.cache);
    this.orders = new OrderLedger(options.honoursFencingTokens);
    this.lifecycle = new BackendLifecycle({
      ...options,
      onInstanceRemoved: () => void this.shutDownAbruptly('instance-removed'),
    });
    this.server = new StandinServer({
      ...options,
      routes: this.createRoutes(),
      getLedger: () => ({runs: this.ledger.getEntries(), orders: this.orders.getEntries()}),
      onFaults: faults => this.applyFaults(faults),
    });
  }

  /** Starts listening, then registers with the instance list. */
  async start(): Promise<void> {
    await this.server.start();
    this.updateLoadReport();
    this.reportTimer = setInterval(() => this.updateLoadReport(), this.options.loadLagMs);
    await this.lifecycle.start(this.server.getPort());
  }

  /** Removes the engine from the instance list and stops it. */
  async stop(): Promise<void> {
    await this.lifecycle.stop();
    await this.shutDown();
  }

  /** Returns the port that it listens on; only valid after `start`. */
  getPort(): number {
    return this.server.getPort();
  }

  /** Returns the ledger of the requests that the engine ran. */
  getLedger(): RunLedger {
    return this.ledger;
  }

  private createRoutes(): readonly Route[] {
    return [
      {
        method: 'POST',
        path: /^\/v1\/chat\/completions$/,
        hasEffect: true,
        handler: exchange => this.complete(exchange, parseChatRequest),
      },
      {
        method: 'POST',
        path: /^\/v1\/completions$/,
        hasEffect: true,
        handler: exchange => this.complete(exchange, parseCompletionRequest),
      },
      {method: 'GET', path: /^\/health$/, handler: exchange => this.sendHealth(exchange)},
      {method: 'GET', path: /^\/v1\/models$/, handler: exchange => this.sendModels(exchange)},
      {
        method: 'GET',
        path: /^\/load$/,
        handler: exchange => exchange.sendJson(200, this.loadReport),
      },
      {method: 'GET', path: /^\/cache\/events$/, handler: exchange => this.sendEvents(exchange)},
      ...createKvRoutes(
        this.transfers,
        requestId => this.runs.getBlocks(requestId),
        this.options.exportsKv ?? true,
      ),
      {
        method: 'POST',
        path: /^\/orders$/,
        hasEffect: true,
        handler: exchange => this.handleOrder(exchange),
      },
      {
        method: 'POST',
        path: /^\/standin\/notice$/,
        handler: exchange => this.lifecycle.handleReclaimNotice(exchange),
      },
    ];
  }

  private async complete(
    exchange: Exchange,
    parse: (body: unknown) => CompletionRequest,
  ): Promise<void> {
    const body = await exchange.readText();
    const request = parse(JSON.parse(body));
    const identity = this.lifecycle.getIdentity();
    const {service, version} = identity;
    if (request.model !== service || !this.isServing) {
      exchange.sendJson(404, {error: {message: `model ${request.model} is not served here`}});
      return;
    }
    const entry = this.runs.addEntry(exchange, body, identity);
    if (this.shouldCrash(body, entry.openRequests)) {
      await this.shutDownAbruptly('crashed');
      return;
    }
    const badEffect = this.getBadVersionEffect(exchange.url.pathname, entry.openRequests);
    if (badEffect === 'fail') {
      this.runs.failRun(entry);
      exchange.sendJson(500, {error: {message: `version ${version} failed`}});
      return;
    }
    const slowdownFactor =
      badEffect === 'slow' ? (this.server.getFaults().badVersion?.slowdownFactor ?? 1) : 1;
    const writer = new CompletionWriter(exchange, request, `cmpl-${entry.requestId}`, version);
    this.runs.startRun(exchange, request, entry, writer, slowdownFactor);
  }

  private shouldCrash(body: string, openRequests: number): boolean {
    const {crashOnBodyText} = this.server.getFaults();
    if (crashOnBodyText !== undefined && body.includes(crashOnBodyText)) return true;
    return this.warmth.exceedsColdLimit(openRequests);
  }

  private getBadVersionEffect(path: string, openRequests: number): 'fail' | 'slow' | undefined {
    const {badVersion} = this.server.getFaults();
    if (!badVersion || !this.server.occursWithChance(badVersion.percent)) return undefined;
    const faultAgeMs = Date.now() - this.server.getFaultsSetAtMs();
    return isVersionBad(badVersion, path, openRequests, faultAgeMs) ? badVersion.effect : undefined;
  }

  private applyFaults(faults: Faults): void {
    if (faults.turnCold) {
      this.warmth.turnCold();
      this.cache.clear();
    }
    if (faults.dropPrefixCache) this.cache.clear();
  }

  private updateLoadReport(): void {
    const {prefillTokensPerSecond, decodeStepMs, timeScale, cacheTokens} = this.options.profile;
    const factor = timeScale / this.warmth.getSlowdownFactor();
    this.loadReport = {
      ...this.scheduler.getLoad(),
      prefillTokensPerSecond: prefillTokensPerSecond * factor,
      decodeTokensPerSecond: (MS_PER_SECOND / decodeStepMs) * factor,
      cachedTokens: this.cache.getTokens(),
      cachedTokensLimit: cacheTokens,
      reportedAtMs: Date.now(),
      ...this.lifecycle.getReclaimState(),
    };
  }

  private sendHealth(exchange: Exchange): void {
    exchange.sendJson(this.isServing ? 200 : 503, {});
  }

  private sendModels(exchange: Exchange): void {
    const {service, version} = this.lifecycle.getIdentity();
    exchange.sendJson(200, {data: this.isServing ? [{id: service, version}] : []});
  }

  private sendEvents(exchange: Exchange): void {
    const from = exchange.getQueryNumber('from', 0);
    const max = exchange.getQueryNumber('max', MAX_EVENTS);
    const delayMs = this.server.getFaults().cacheEventDelayMs ?? this.options.cacheEventDelayMs;
    exchange.sendJson(200, this.events.getEvents(from, max, Date.now() - delayMs));
  }

  private async handleOrder(exchange: Exchange): Promise<void> {
    const order = orderSchema.parse(await exchange.readJson());
    if (!this.orders.acceptOrder(order, Date.now())) {
      exchange.sendJson(409, {highestToken: this.orders.getHighestToken()});
      return;
    }
    exchange.sendJson(200, {});
    if (order.order === 'load') await this.loadVersion(order.service, order.version);
    if (order.order === 'unload') this.isServing = false;
  }

  private async loadVersion(service: string, version: string): Promise<void> {
    await sleep(this.options.loadVersionMs);
    this.cache.clear();
    this.warmth.turnCold();
    this.isServing = true;
    await this.lifecycle.changeVersion(service, version);
  }

  private async shutDownAbruptly(reason: 'crashed' | 'instance-removed'): Promise<void> {
    this.lifecycle.stopWithoutUnregistering();
    this.runs.crashAll();
    await this.shutDown();
    this.options.onDown(reason);
  }

  private async shutDown(): Promise<void> {
    clearInterval(this.reportTimer);
    this.scheduler.stop();
    await this.server.stop();
  }
}

const MS_PER_SECOND = 1_000;
const MAX_EVENTS = 1_000;
