/** Load of each backend server: this gateway's own load, plus the last reports of other gateways or groups of them. */
import {getTextKey} from '../../utils/index.js';

/** Load that one gateway, or all of them, put on one backend server. */
export interface ServerLoad {
  readonly openRequests: number;
  /** Expected uncached prompt tokens of the requests that have had no first event yet. */
  readonly pendingPromptTokens: number;
}

/** Last report of another gateway, or the combined report of several. */
interface PeerReport {
  /** By the key of the server's id. */
  readonly byServer: ReadonlyMap<number, ServerLoad>;
  readonly receivedAtMs: number;
}

interface MutableServerLoad {
  openRequests: number;
  pendingPromptTokens: number;
}

/** Age above which the last report of a source is ignored. */
const PEER_LOAD_EXPIRY_MS = 2_000;
/** Server ids whose keys are kept; ids are never used again after their server has left. */
const MAX_CACHED_KEYS = 20_000;
const NO_LOAD: ServerLoad = {openRequests: 0, pendingPromptTokens: 0};

/** Aggregates the load of backend servers over all gateways. */
export class ServerLoads {
  private readonly ownLoads = new Map<string, MutableServerLoad>();
  private readonly peerReports = new Map<string, PeerReport>();
  private readonly keysByServerId = new Map<string, number>();

  /**
   * Adds a request that this gateway has sent.
   * @param promptTokens - Prompt tokens that the server is expected to prefill; 0 for requests without a prompt.
   */
  addRequest(serverId: string, promptTokens: number): void {
    const load = this.ownLoads.get(serverId) ?? {openRequests: 0, pendingPromptTokens: 0};
    load.openRequests += 1;
    load.pendingPromptTokens += promptTokens;
    this.ownLoads.set(serverId, load);
  }

  /**
   * Removes the prompt of a request from the pending tokens, when its prefill has ended.
   * @param promptTokens - The value that was passed to `addRequest`.
   */
  removePrompt(serverId: string, promptTokens: number): void {
    const load = this.ownLoads.get(serverId);
    if (load) load.pendingPromptTokens = Math.max(0, load.pendingPromptTokens - promptTokens);
  }

  /** Removes a request that has ended. */
  removeRequest(serverId: string): void {
    const load = this.ownLoads.get(serverId);
    if (!load) return;
    load.openRequests -= 1;
    if (load.openRequests <= 0) this.ownLoads.delete(serverId);
  }

  /**
   * Replaces the load that another gateway, or the representative of several, reports.
   * @param sourceId - Identifies the source; no gateway may be part of two sources.
   * @param byServer - Load by the key of the server's id.
   * @param nowMs - Monotonic time in milliseconds at which the report was received.
   */
  applyPeerReport(
    sourceId: string,
    byServer: ReadonlyMap<number, ServerLoad>,
    nowMs: number,
  ): void {
    this.peerReports.set(sourceId, {byServer, receivedAtMs: nowMs});
  }

  /** Drops the report of a source whose gateways are now reported by another one. */
  removePeerReport(sourceId: string): void {
    this.peerReports.delete(sourceId);
  }

  /** Returns the total load of a backend server over this gateway and those with a recent report. */
  getLoad(serverId: string, nowMs: number): ServerLoad {
    const key = this.getKey(serverId);
    let {openRequests, pendingPromptTokens} = this.ownLoads.get(serverId) ?? NO_LOAD;
    for (const {byServer, receivedAtMs} of this.peerReports.values()) {
      if (nowMs - receivedAtMs > PEER_LOAD_EXPIRY_MS) continue;
      const load = byServer.get(key) ?? NO_LOAD;
      openRequests += load.openRequests;
      pendingPromptTokens += load.pendingPromptTokens;
    }
    return {openRequests, pendingPromptTokens};
  }

  /** Returns the open requests of this gateway at a server. */
  getOwnOpenRequests(serverId: string): number {
    return this.ownLoads.get(serverId)?.openRequests ?? 0;
  }

  /** Returns the load of this gateway alone, by the key of the server's id. */
  getOwnLoadsByKey(): ReadonlyMap<number, ServerLoad> {
    return new Map([...this.ownLoads].map(([serverId, load]) => [this.getKey(serverId), load]));
  }

  private getKey(serverId: string): number {
    const known = this.keysByServerId.get(serverId);
    if (known !== undefined) return known;
    if (this.keysByServerId.size >= MAX_CACHED_KEYS) this.keysByServerId.clear();
    const key = getTextKey(serverId);
    this.keysByServerId.set(serverId, key);
    return key;
  }
}
