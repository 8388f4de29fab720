/** Load of each backend server: this gateway's own load, plus the last reports of the other gateways. */

/** Load that one gateway, or all of them, put on one backend server. */
export interface ServerLoad {
  readonly openRequests: number;
  /** Expected uncached prompt tokens of the requests that have had no first event yet. */
  readonly pendingPromptTokens: number;
}

/** Last report of another gateway. */
interface PeerReport {
  readonly byServer: ReadonlyMap<string, ServerLoad>;
  readonly receivedAtMs: number;
}

interface MutableServerLoad {
  openRequests: number;
  pendingPromptTokens: number;
}

/** Age above which the last report of a gateway is ignored. */
const PEER_LOAD_EXPIRY_MS = 2_000;
const NO_LOAD: ServerLoad = {openRequests: 0, pendingPromptTokens: 0};

/** Aggregates the load of backend servers over all gateways. */
export class ServerLoads {
  private readonly ownLoads = new Map<string, MutableServerLoad>();
  private readonly peerReports = new Map<string, PeerReport>();

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
   * Replaces the load that another gateway reports.
   * @param byServer - Its load by backend server id.
   * @param nowMs - Monotonic time in milliseconds at which the report was received.
   */
  applyPeerReport(
    gatewayId: string,
    byServer: ReadonlyMap<string, ServerLoad>,
    nowMs: number,
  ): void {
    this.peerReports.set(gatewayId, {byServer, receivedAtMs: nowMs});
  }

  /** Returns the total load of a backend server over this gateway and those with a recent report. */
  getLoad(serverId: string, nowMs: number): ServerLoad {
    let {openRequests, pendingPromptTokens} = this.ownLoads.get(serverId) ?? NO_LOAD;
    for (const {byServer, receivedAtMs} of this.peerReports.values()) {
      if (nowMs - receivedAtMs > PEER_LOAD_EXPIRY_MS) continue;
      const load = byServer.get(serverId) ?? NO_LOAD;
      openRequests += load.openRequests;
      pendingPromptTokens += load.pendingPromptTokens;
    }
    return {openRequests, pendingPromptTokens};
  }

  /** Returns the load of this gateway alone, by backend server id; it's reported to the other gateways. */
  getOwnLoads(): ReadonlyMap<string, ServerLoad> {
    return this.ownLoads;
  }
}
