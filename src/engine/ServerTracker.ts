/** What an entry has learned of each backend server: warmth, concurrency, cached prefixes, silence and death. */
import type {BackendServer, Member, Warmth} from '../blackboard/index.js';
import type {Service} from '../configuration/index.js';
import {SilenceCounter} from '../controllers/retry/index.js';
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
  readonly ownInstanceId: string;
  readonly getEntries: () => readonly Member[];
  readonly getService: (name: string) => Service | undefined;
  readonly getNowMs: () => number;
}

/** The first token of a try, or the answer of a plain call, against its prediction. */
export interface FirstTokenSample {
  readonly expectedMs: number;
  readonly observedMs: number;
  /** Whether the try ended before its answer did. */
  readonly isBroken?: boolean;
}

/** Time after which a dead backend server is tried again where no load report came. */
const DOWN_MS = 3_000;
const INITIAL_CACHE_TOKENS_PER_SECOND = 12_000;
const CACHE_RATE_WEIGHT = 0.3;
const MS_PER_SECOND = 1_000;

interface TrackedServer {
  warmth: WarmthState;
  openRequests: number;
  pendingPrefillTokens: number;
  usedAtMs: number | undefined;
  reportedAtMs: number;
  downUntilMs: number;
}

/** Keeps one state a backend server and feeds the deciding functions. */
export class ServerTracker {
  /** Which prefixes each backend server has cached. */
  readonly prefixes = new PrefixIndex();
  private readonly options: ServerTrackerOptions;
  private readonly servers = new Map<string, TrackedServer>();
  private readonly silences = new SilenceCounter();
  private readonly limits = new ConcurrencyLimits();
  private readonly slotWaiters = new SlotWaiters();
  private cacheTokensPerSecond = INITIAL_CACHE_TOKENS_PER_SECOND;

  constructor(options: ServerTrackerOptions) {
    this.options = options;
  }

  /**
   * Takes load reports, and forgets backend servers that are gone.
   * @param servers - The backend servers known now.
   */
  observeServers(servers: readonly BackendServer[]): void {
    const known = new Set(servers.map(({instanceId}) => instanceId));
    for (const instanceId of this.servers.keys()) {
      if (!known.has(instanceId)) this.forget(instanceId);
    }
    for (const server of servers) this.observeReport(server);
    this.slotWaiters.wake();
  }

  /**
   * Returns a backend server's warmth.
   * @param instanceId - The backend server.
   */
  getWarmth(instanceId: string): Warmth {
    return getWarmthName(this.getServer(instanceId).warmth);
  }

  /**
   * Returns how many requests this entry may have open at a backend server: the least of the limits by warmth, by
   * latency, and by what other entries were seen to send.
   * @param server - The backend server.
   * @param service - Its service.
   */
  getLimit(server: BackendServer, service: Service): number {
    const {ownInstanceId, getEntries} = this.options;
    const tracked = this.getServer(server.instanceId);
    const {levelPart} = tracked.warmth;
    const entries = getEntries();
    const warmthLimit = getWarmthLimit({server, service, entries, ownInstanceId, levelPart});
    const latencyLimit = Math.floor(
      this.limits.getLimit(server.instanceId) ?? service.maxConcurrentRequests,
    );
    const {runningRequests = 0, queuedRequests = 0} = server.load ?? {};
    const others = Math.max(0, runningRequests + queuedRequests - tracked.openRequests);
    const sharedLimit = service.maxConcurrentRequests - others;
    return Math.max(0, Math.min(warmthLimit, latencyLimit, sharedLimit));
  }

  /**
   * Returns the tries that this entry has open at a backend server.
   * @param instanceId - The backend server.
   */
  getOpenRequests(instanceId: string): number {
    return this.servers.get(instanceId)?.openRequests ?? 0;
  }

  /**
   * Returns the instant at which this entry last had a try open at a backend server; undefined for never.
   * @param instanceId - The backend server.
   */
  getUsedAtMs(instanceId: string): number | undefined {
    const tracked = this.servers.get(instanceId);
    return tracked && tracked.openRequests > 0 ? this.options.getNowMs() : tracked?.usedAtMs;
  }

  /**
   * Notes a try that is sent.
   * @param instanceId - The backend server.
   */
  addRequest(instanceId: string): void {
    const tracked = this.getServer(instanceId);
    tracked.openRequests += 1;
    tracked.usedAtMs = this.options.getNowMs();
  }

  /**
   * Notes the end of a try.
   * @param instanceId - The backend server.
   */
  removeRequest(instanceId: string): void {
    const tracked = this.servers.get(instanceId);
    if (tracked) {
      tracked.openRequests = Math.max(0, tracked.openRequests - 1);
      tracked.usedAtMs = this.options.getNowMs();
    }
    this.slotWaiters.wake();
  }

  /**
   * Returns the uncached tokens of this entry's tries that have had no first token.
   * @param instanceId - The backend server.
   */
  getPendingPrefillTokens(instanceId: string): number {
    return this.servers.get(instanceId)?.pendingPrefillTokens ?? 0;
  }

  /**
   * Notes that a try waits for its first token, or no longer does.
   * @param instanceId - The backend server.
   * @param tokens - Its uncached tokens; negative where it waits no longer.
   */
  addPendingPrefill(instanceId: string, tokens: number): void {
    const tracked = this.getServer(instanceId);
    tracked.pendingPrefillTokens = Math.max(0, tracked.pendingPrefillTokens + tokens);
  }

  /**
   * Waits until a try has ended somewhere or limits may have changed.
   * @param maxWaitMs - Longest wait.
   */
  waitForSlot(maxWaitMs: number): Promise<void> {
    return this.slotWaiters.wait(maxWaitMs);
  }

  /**
   * Takes the first token of a try.
   * @param server - The backend server.
   * @param sample - When it came, and when it was expected.
   */
  addFirstToken(server: BackendServer, sample: FirstTokenSample): void {
    this.silences.addAnswer(server.instanceId);
    this.observe(server.instanceId, {kind: 'first-token', ...sample});
    const service = this.options.getService(server.service);
    const openRequests = this.getOpenRequests(server.instanceId);
    if (service) this.limits.addFirstToken(server, service, {...sample, openRequests});
  }

  /**
   * Takes the answer of a plain call. Without a prediction it counts as one in time for warmth; for the limit, the usual
   * latency of its route stands in.
   * @param server - The backend server.
   * @param route - The route that was called.
   * @param observedMs - Time that the answer took.
   */
  addAnswer(server: BackendServer, route: string, observedMs: number): void {
    const {instanceId} = server;
    this.silences.addAnswer(instanceId);
    this.observe(instanceId, {kind: 'first-token', expectedMs: observedMs, observedMs});
    const service = this.options.getService(server.service);
    const openRequests = this.getOpenRequests(instanceId);
    if (service) this.limits.addAnswer(server, service, {route, observedMs, openRequests});
  }

  /**
   * Notes a silent connection.
   * @param instanceId - The backend server.
   * @returns Whether it counts against the backend server.
   */
  addSilence(instanceId: string): boolean {
    const isAgainstServer = this.silences.addSilence(instanceId);
    if (isAgainstServer) this.observe(instanceId, {kind: 'silent'});
    return isAgainstServer;
  }

  /**
   * Takes cache events.
   * @param instanceId - The backend server.
   * @param slice - The events.
   */
  addCacheEvents(instanceId: string, slice: CacheEventSlice): void {
    const {isCleared} = this.prefixes.applyEvents(instanceId, slice, this.options.getNowMs());
    if (isCleared) this.observe(instanceId, {kind: 'cache-cleared'});
  }

  /**
   * Takes a peer's word that a backend server has turned cold.
   * @param instanceId - The backend server.
   */
  addReportedCold(instanceId: string): void {
    this.observe(instanceId, {kind: 'reported-cold'});
  }

  /**
   * Notes that a backend server didn't answer at all.
   * @param instanceId - The backend server.
   */
  markDown(instanceId: string): void {
    const tracked = this.getServer(instanceId);
    tracked.downUntilMs = this.options.getNowMs() + DOWN_MS;
    tracked.warmth = createWarmth(this.options.getNowMs());
    this.prefixes.removeServer(instanceId);
  }

  /**
   * Returns whether a backend server is taken for dead.
   * @param instanceId - The backend server.
   */
  isDown(instanceId: string): boolean {
    return (this.servers.get(instanceId)?.downUntilMs ?? 0) > this.options.getNowMs();
  }

  /** Returns the rate at which KV cache has moved between backend servers. */
  getCacheTokensPerSecond(): number {
    return this.cacheTokensPerSecond;
  }

  /**
   * Takes the rate of a move of KV cache.
   * @param tokens - Tokens moved.
   * @param durationMs - Time that it took.
   */
  addCacheMove(tokens: number, durationMs: number): void {
    const rate = (tokens / Math.max(1, durationMs)) * MS_PER_SECOND;
    this.cacheTokensPerSecond += CACHE_RATE_WEIGHT * (rate - this.cacheTokensPerSecond);
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

  private forget(instanceId: string): void {
    this.servers.delete(instanceId);
    this.limits.removeServer(instanceId);
    this.silences.addAnswer(instanceId);
    this.prefixes.removeServer(instanceId);
  }

  private getServer(instanceId: string): TrackedServer {
    const found = this.servers.get(instanceId);
    if (found) return found;
    const created: TrackedServer = {
      warmth: createWarmth(this.options.getNowMs()),
      openRequests: 0,
      pendingPrefillTokens: 0,
      usedAtMs: undefined,
      reportedAtMs: 0,
      downUntilMs: 0,
    };
    this.servers.set(instanceId, created);
    return created;
  }
}
