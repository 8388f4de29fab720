/** What one entry knows of its backend servers: load reports and cache events that come late, and what it sent itself. */
import type {BackendServer} from '../../../src/blackboard/index.js';
import type {Configuration, Service} from '../../../src/configuration/index.js';
import {
  PrefixIndex,
  type CacheEvent,
  type RoutingView,
} from '../../../src/controllers/routing/index.js';

const SERVICE: Service = {
  name: 'guidance',
  kind: 'model',
  versions: [{name: 'v1', sharePercent: 100}],
  routes: [],
  targetReplicas: 8,
  maxConcurrentRequests: 32,
  coldConcurrentRequests: 4,
  requestTimeoutMs: 30_000,
  honoursFencingTokens: true,
};
const CONFIGURATION: Configuration = {
  deployment: 'experiment',
  failureDomains: [],
  workspaces: [],
  requestClasses: [],
  services: [SERVICE],
  priceLimits: [],
  staleConfigurationGraceMs: 60_000,
};

/** Keeps the view that routing policies read. */
export class EntryModel {
  private readonly servers = new Map<string, BackendServer>();
  private readonly openRequests = new Map<string, number>();
  private readonly pendingTokens = new Map<string, number>();
  private readonly index = new PrefixIndex();

  /** Adds or replaces what is known of a server. */
  setServer(server: BackendServer): void {
    this.servers.set(server.instanceId, server);
  }

  /**
   * Returns a server.
   * @param instanceId - The server.
   */
  getServer(instanceId: string): BackendServer | undefined {
    return this.servers.get(instanceId);
  }

  /**
   * Forgets a server.
   * @param instanceId - The server.
   */
  removeServer(instanceId: string): void {
    this.servers.delete(instanceId);
    this.index.removeServer(instanceId);
  }

  /**
   * Takes cache events; those of a lost answer are missing between two sequences.
   * @param instanceId - The server.
   * @param events - Events as they came.
   * @param nextSequence - Sequence after the last one that the server has published.
   * @param nowMs - Present time.
   */
  applyCacheEvents(
    instanceId: string,
    events: readonly CacheEvent[],
    nextSequence: number,
    nowMs: number,
  ): void {
    const fromSequence = this.index.getNextSequence(instanceId);
    const slice = {fromSequence, events, nextSequence, earliestSequence: 0};
    this.index.applyEvents(instanceId, slice, nowMs);
  }

  /**
   * Notes a request that was sent.
   * @param instanceId - The server.
   * @param blockHashes - Hash chain of its prompt.
   * @param uncachedTokens - Tokens that are expected to be computed.
   * @param nowMs - Present time.
   */
  addSent(
    instanceId: string,
    blockHashes: readonly string[],
    uncachedTokens: number,
    nowMs: number,
  ): void {
    this.index.addSent(instanceId, blockHashes, nowMs);
    add(this.openRequests, instanceId, 1);
    add(this.pendingTokens, instanceId, uncachedTokens);
  }

  /** Notes that a request's first token came, or that it ended without one. */
  removePending(instanceId: string, uncachedTokens: number): void {
    add(this.pendingTokens, instanceId, -uncachedTokens);
  }

  /** Notes that a request ended. */
  removeOpen(instanceId: string): void {
    add(this.openRequests, instanceId, -1);
  }

  /**
   * Returns what the entry knows.
   * @param nowMs - Present time.
   */
  getView(nowMs: number): RoutingView {
    return {
      configuration: CONFIGURATION,
      servers: [...this.servers.values()],
      failureDomains: [],
      moves: [],
      incidents: [],
      entries: [],
      ownInstanceId: 'entry-1',
      ownFailureDomain: 'a',
      getOpenRequests: instanceId => this.openRequests.get(instanceId) ?? 0,
      getPendingPrefillTokens: instanceId => this.pendingTokens.get(instanceId) ?? 0,
      // One entry stands for all, so it has all places of a cold server.
      getConcurrencyLimit: ({warmth}) =>
        warmth === 'cold' ? SERVICE.coldConcurrentRequests : SERVICE.maxConcurrentRequests,
      getCachedTokens: (instanceId, hashes) =>
        this.index.getCachedTokens(instanceId, hashes, nowMs),
    };
  }
}

function add(counts: Map<string, number>, key: string, change: number): void {
  counts.set(key, (counts.get(key) ?? 0) + change);
}
