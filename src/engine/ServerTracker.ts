/**
 * State that an entry keeps for each backend server: warmth, concurrency, cached prefixes, stalled and failed
 * connections.
 */
import type {BackendServer, Member, Warmth} from '../blackboard/index.js';
import type {Service} from '../configuration/index.js';
import {StalledConnectionCounter} from '../controllers/retry/index.js';
import {PrefixIndex, type CacheEventSlice} from '../controllers/routing/index.js';
import {
  createWarmth,
  getWarmthLimit,
  getWarmthName,
  updateWarmth,
  type WarmthObservation,
  type WarmthState,
} from '../controllers/warmth/index.js';
import {ConcurrencyLimits} from './ConcurrencyLimits.js';
import {SlotWaiters} from './SlotWaiters.js';

/** Options of a `ServerTracker`. */
export interface ServerTrackerOptions {
  /** Instance of this entry. */
  readonly ownInstanceId: string;
  /** Returns all known entries, including this one. */
  readonly getEntries: () => readonly Member[];
  /** Returns the configuration of a service; undefined if it isn't configured. */
  readonly getService: (name: string) => Service | undefined;
  /** Returns Unix time in milliseconds. */
  readonly getNowMs: () => number;
}

/** Expected and observed time to the first token of an attempt, or to the response of a plain call. */
export interface FirstTokenSample {
  readonly expectedMs: number;
  readonly observedMs: number;
  /** Whether the attempt ended before its response was complete. */
  readonly isAborted?: boolean;
}

/** How long an unreachable backend server counts as down, unless a load report arrives earlier. */
const DOWN_DURATION_MS = 3_000;
/** KV cache transfer rate, in tokens per second, that is assumed before the first transfer. */
const INITIAL_CACHE_TRANSFER_RATE = 12_000;
/** Weight of a new sample in the moving average of the transfer rate. */
const CACHE_TRANSFER_RATE_WEIGHT = 0.3;
const MS_PER_SECOND = 1_000;

interface TrackedServer {
  warmth: WarmthState;
  openRequests: number;
  pendingPrefillTokens: number;
  lastUsedAtMs: number | undefined;
  reportedAtMs: number;
  downUntilMs: number;
}

/**
 * Collects observations of backend servers, and answers queries of routing, admission and retry decisions from them.
 */
export class ServerTracker {
  /** Which prefixes each backend server has cached. */
  readonly prefixes = new PrefixIndex();
  private readonly options: ServerTrackerOptions;
  private readonly servers = new Map<string, TrackedServer>();
  private readonly stallCounter = new StalledConnectionCounter();
  private readonly limits = new ConcurrencyLimits();
  private readonly slotWaiters = new SlotWaiters();
  /** Moving average of the KV cache transfer rate, in tokens per second. */
  private cacheTransferRate = INITIAL_CACHE_TRANSFER_RATE;

  constructor(options: ServerTrackerOptions) {
    this.options = options;
  }

  /**
   * Applies new load reports, and discards the state of backend servers that are not listed.
   * @param servers - Backend servers that currently exist, with their latest reports.
   */
  observeServers(servers: readonly BackendServer[]): void {
    const currentIds = new Set(servers.map(({instanceId}) => instanceId));
    for (const instanceId of this.servers.keys()) {
      if (!currentIds.has(instanceId)) this.removeServer(instanceId);
    }
    for (const server of servers) this.observeReport(server);
    this.slotWaiters.wake();
  }

  /**
   * Returns the warmth of a backend server as this entry has observed it.
   * @param instanceId - Instance of the backend server.
   */
  getWarmth(instanceId: string): Warmth {
    return getWarmthName(this.getServer(instanceId).warmth);
  }

  /**
   * Returns how many requests this entry may have open at a backend server: the minimum of its limits by warmth, by
   * latency, and by the capacity that other entries leave according to the server's load report.
   * @param server - Backend server with its latest load report.
   * @param service - Configuration of the server's service.
   */
  getLimit(server: BackendServer, service: Service): number {
    const {ownInstanceId, getEntries} = this.options;
    const tracked = this.getServer(server.instanceId);
    const {level} = tracked.warmth;
    const entries = getEntries();
    const warmthLimit = getWarmthLimit({server, service, entries, ownInstanceId, level});
    const latencyLimit = Math.floor(
      this.limits.getLimit(server.instanceId) ?? service.maxConcurrentRequests,
    );
    const {runningRequests = 0, queuedRequests = 0} = server.load ?? {};
    const otherEntriesRequests = Math.max(
      0,
      runningRequests + queuedRequests - tracked.openRequests,
    );
    const sharedLimit = service.maxConcurrentRequests - otherEntriesRequests;
    return Math.max(0, Math.min(warmthLimit, latencyLimit, sharedLimit));
  }

  /**
   * Returns the number of attempts that this entry has open at a backend server.
   * @param instanceId - Instance of the backend server.
   */
  getOpenRequests(instanceId: string): number {
    return this.servers.get(instanceId)?.openRequests ?? 0;
  }

  /**
   * Returns the Unix time in milliseconds at which this entry last had an attempt open at a backend server; undefined
   * if it never had one.
   * @param instanceId - Instance of the backend server.
   */
  getLastUsedAtMs(instanceId: string): number | undefined {
    const tracked = this.servers.get(instanceId);
    return tracked && tracked.openRequests > 0 ? this.options.getNowMs() : tracked?.lastUsedAtMs;
  }

  /**
   * Records that an attempt was sent.
   * @param instanceId - Instance of the backend server.
   */
  addRequest(instanceId: string): void {
    const tracked = this.getServer(instanceId);
    tracked.openRequests += 1;
    tracked.lastUsedAtMs = this.options.getNowMs();
  }

  /**
   * Records that an attempt ended, and wakes requests that wait for a slot.
   * @param instanceId - Instance of the backend server.
   */
  removeRequest(instanceId: string): void {
    const tracked = this.servers.get(instanceId);
    if (tracked) {
      tracked.openRequests = Math.max(0, tracked.openRequests - 1);
      tracked.lastUsedAtMs = this.options.getNowMs();
    }
    this.slotWaiters.wake();
  }

  /**
   * Returns the number of uncached prompt tokens of this entry's attempts that have no first token yet.
   * @param instanceId - Instance of the backend server.
   */
  getPendingPrefillTokens(instanceId: string): number {
    return this.servers.get(instanceId)?.pendingPrefillTokens ?? 0;
  }

  /**
   * Adjusts the number of pending prefill tokens when an attempt starts or stops waiting for its first token.
   * @param instanceId - Instance of the backend server.
   * @param tokens - Uncached prompt tokens of the attempt; negative when it stops waiting.
   */
  addPendingPrefill(instanceId: string, tokens: number): void {
    const tracked = this.getServer(instanceId);
    tracked.pendingPrefillTokens = Math.max(0, tracked.pendingPrefillTokens + tokens);
  }

  /**
   * Waits until an attempt has ended at any backend server or limits may have changed.
   * @param maxWaitMs - Timeout, after which the promise resolves as well.
   */
  waitForSlot(maxWaitMs: number): Promise<void> {
    return this.slotWaiters.wait(maxWaitMs);
  }

  /**
   * Records the first token of an attempt: updates warmth and the concurrency limit.
   * @param server - Backend server of the attempt.
   * @param sample - Expected and observed time to the first token.
   */
  addFirstToken(server: BackendServer, sample: FirstTokenSample): void {
    this.stallCounter.recordResponse(server.instanceId);
    this.observe(server.instanceId, {kind: 'first-token', ...sample});
    const service = this.options.getService(server.service);
    const openRequests = this.getOpenRequests(server.instanceId);
    if (service) this.limits.addFirstToken(server, service, {...sample, openRequests});
  }

  /**
   * Records the response of a plain call. Plain calls have no predicted latency: for warmth the response counts as on
   * time, and for the concurrency limit it is compared with the usual latency of its route.
   * @param server - Backend server that responded.
   * @param route - Name of the route; latencies are learned for each service and route.
   * @param observedMs - Time from request to response.
   */
  addResponse(server: BackendServer, route: string, observedMs: number): void {
    const {instanceId} = server;
    this.stallCounter.recordResponse(instanceId);
    this.observe(instanceId, {kind: 'first-token', expectedMs: observedMs, observedMs});
    const service = this.options.getService(server.service);
    const openRequests = this.getOpenRequests(instanceId);
    if (service) this.limits.addResponse(server, service, {route, observedMs, openRequests});
  }

  /**
   * Records a stalled connection.
   * @param instanceId - Instance of the backend server.
   * @returns Whether it is attributed to the backend server, after several in succession, and not to the connection.
   */
  addStall(instanceId: string): boolean {
    const isAgainstServer = this.stallCounter.recordStall(instanceId);
    if (isAgainstServer) this.observe(instanceId, {kind: 'silent'});
    return isAgainstServer;
  }

  /**
   * Applies prefix cache events; a cleared cache also makes the server count as cold.
   * @param instanceId - Instance of the backend server.
   * @param slice - Events in sequence order.
   */
  addCacheEvents(instanceId: string, slice: CacheEventSlice): void {
    const {isCleared} = this.prefixes.applyEvents(instanceId, slice, this.options.getNowMs());
    if (isCleared) this.observe(instanceId, {kind: 'cache-cleared'});
  }

  /**
   * Records another entry's report that a backend server has become cold.
   * @param instanceId - Instance of the backend server.
   */
  addReportedCold(instanceId: string): void {
    this.observe(instanceId, {kind: 'reported-cold'});
  }

  /**
   * Marks a backend server as down after it couldn't be reached: resets its warmth and its cached prefixes.
   * @param instanceId - Instance of the backend server.
   */
  markDown(instanceId: string): void {
    const tracked = this.getServer(instanceId);
    tracked.downUntilMs = this.options.getNowMs() + DOWN_DURATION_MS;
    tracked.warmth = createWarmth(this.options.getNowMs());
    this.prefixes.removeServer(instanceId);
  }

  /**
   * Returns whether a backend server is currently marked as down.
   * @param instanceId - Instance of the backend server.
   */
  isDown(instanceId: string): boolean {
    return (this.servers.get(instanceId)?.downUntilMs ?? 0) > this.options.getNowMs();
  }

  /** Returns the observed KV cache transfer rate between backend servers, in tokens per second. */
  getCacheTransferRate(): number {
    return this.cacheTransferRate;
  }

  /**
   * Records a KV cache transfer between backend servers.
   * @param tokens - Number of tokens transferred.
   * @param durationMs - Duration of the transfer.
   */
  addCacheTransfer(tokens: number, durationMs: number): void {
    const tokensPerSecond = (tokens / Math.max(1, durationMs)) * MS_PER_SECOND;
    this.cacheTransferRate +=
      CACHE_TRANSFER_RATE_WEIGHT * (tokensPerSecond - this.cacheTransferRate);
  }

  private observeReport(server: BackendServer): void {
    const {instanceId, load} = server;
    const tracked = this.getServer(instanceId);
    const service = this.options.getService(server.service);
    if (!load || !service || load.reportedAtMs <= tracked.reportedAtMs) return;
    tracked.reportedAtMs = load.reportedAtMs;
    tracked.downUntilMs = 0;
    this.observe(instanceId, {
      kind: 'load-report',
      runningRequests: load.runningRequests,
      coldRequests: service.coldConcurrentRequests,
      warmRequests: service.maxConcurrentRequests,
    });
  }

  private observe(instanceId: string, observation: WarmthObservation): void {
    const tracked = this.getServer(instanceId);
    tracked.warmth = updateWarmth(tracked.warmth, observation, this.options.getNowMs());
  }

  private removeServer(instanceId: string): void {
    this.servers.delete(instanceId);
    this.limits.removeServer(instanceId);
    this.stallCounter.recordResponse(instanceId);
    this.prefixes.removeServer(instanceId);
  }

  private getServer(instanceId: string): TrackedServer {
    const found = this.servers.get(instanceId);
    if (found) return found;
    const created: TrackedServer = {
      warmth: createWarmth(this.options.getNowMs()),
      openRequests: 0,
      pendingPrefillTokens: 0,
      lastUsedAtMs: undefined,
      reportedAtMs: 0,
      downUntilMs: 0,
    };
    this.servers.set(instanceId, created);
    return created;
  }
}
