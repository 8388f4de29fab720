/** Models one entry's view of its backend servers: delayed load reports and cache events, and its own open requests. */
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

/** Maintains the `RoutingView` that routing policies read. */
export class EntryModel {
  private readonly servers = new Map<string, BackendServer>();
  private readonly openRequests = new Map<string, number>();
  private readonly pendingTokens = new Map<string, number>();
  private readonly index = new PrefixIndex();

  /** Adds a server or replaces its last known state. */
  setServer(server: BackendServer): void {
    this.servers.set(server.instanceId, server);
  }

  /** Returns the last known state of a server; undefined if it was removed or never added. */
  getServer(instanceId: string): BackendServer | undefined {
    return this.servers.get(instanceId);
  }

  /** Removes a server and its entries of the prefix index. */
  removeServer(instanceId: string): void {
    this.servers.delete(instanceId);
    this.index.removeServer(instanceId);
  }

  /**
   * Applies cache events to the prefix index; a lost poll leaves a gap in the sequence numbers.
   * @param events - Events received; empty if the response was lost.
   * @param nextSequence - Sequence number after the last event that the server has published.
   * @param nowMs - Virtual time in milliseconds.
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
   * Records a request that was sent to a server.
   * @param blockHashes - Hash chain of the prompt's blocks.
   * @param uncachedTokens - Prompt tokens that the server is expected to compute.
   * @param nowMs - Virtual time in milliseconds.
   */
  addSentRequest(
    instanceId: string,
    blockHashes: readonly string[],
    uncachedTokens: number,
    nowMs: number,
  ): void {
    this.index.recordPrompt(instanceId, blockHashes, nowMs);
    addToCount(this.openRequests, instanceId, 1);
    addToCount(this.pendingTokens, instanceId, uncachedTokens);
  }

  /** Removes a request's prompt tokens from the pending ones: its first token arrived, or it ended without one. */
  removePendingTokens(instanceId: string, uncachedTokens: number): void {
    addToCount(this.pendingTokens, instanceId, -uncachedTokens);
  }

  /** Records that a request ended. */
  removeOpenRequest(instanceId: string): void {
    addToCount(this.openRequests, instanceId, -1);
  }

  /**
   * Returns the entry's view for a routing decision.
   * @param nowMs - Virtual time in milliseconds.
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
      // The model has a single entry, so it may use the whole concurrency limit of a cold server.
      getConcurrencyLimit: ({warmth}) =>
        warmth === 'cold' ? SERVICE.coldConcurrentRequests : SERVICE.maxConcurrentRequests,
      getCachedTokens: (instanceId, hashes) =>
        this.index.getCachedTokens(instanceId, hashes, nowMs),
    };
  }
}

function addToCount(counts: Map<string, number>, key: string, change: number): void {
  counts.set(key, (counts.get(key) ?? 0) + change);
}
