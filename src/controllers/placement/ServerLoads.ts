/** Requests and unread prompt tokens at each backend server: own ones at once, those of other gateways as they report. */

/** Load that one gateway puts on one backend server. */
export interface ServerLoad {
  readonly openRequests: number;
  /** Prompt tokens of requests that had no first event yet. */
  readonly pendingPromptTokens: number;
}

interface PeerLoads {
  readonly byServer: ReadonlyMap<string, ServerLoad>;
  readonly receivedAtMs: number;
}

interface OwnLoad {
  openRequests: number;
  pendingPromptTokens: number;
}

/** Reports of a gateway that has fallen silent for longer count no more. */
const PEER_LOAD_EXPIRY_MS = 2_000;
const NO_LOAD: ServerLoad = {openRequests: 0, pendingPromptTokens: 0};

/** Adds up the load of backend servers over all gateways. */
export class ServerLoads {
  private readonly own = new Map<string, OwnLoad>();
  private readonly peers = new Map<string, PeerLoads>();

  /**
   * Notes that a request was sent.
   * @param serverId - The backend server.
   * @param promptTokens - Tokens it has to read first.
   */
  addRequest(serverId: string, promptTokens: number): void {
    const load = this.own.get(serverId) ?? {openRequests: 0, pendingPromptTokens: 0};
    load.openRequests += 1;
    load.pendingPromptTokens += promptTokens;
    this.own.set(serverId, load);
  }

  /**
   * Notes that a prompt has been read.
   * @param serverId - The backend server.
   * @param promptTokens - What was noted when the request was sent.
   */
  endPrompt(serverId: string, promptTokens: number): void {
    const load = this.own.get(serverId);
    if (load) load.pendingPromptTokens = Math.max(0, load.pendingPromptTokens - promptTokens);
  }

  /**
   * Notes that a request has ended.
   * @param serverId - The backend server.
   */
  endRequest(serverId: string): void {
    const load = this.own.get(serverId);
    if (!load) return;
    load.openRequests -= 1;
    if (load.openRequests <= 0) this.own.delete(serverId);
  }

  /**
   * Takes the report of another gateway.
   * @param gatewayId - The gateway.
   * @param byServer - Its load on each backend server.
   * @param nowMs - Present time.
   */
  setPeer(gatewayId: string, byServer: ReadonlyMap<string, ServerLoad>, nowMs: number): void {
    this.peers.set(gatewayId, {byServer, receivedAtMs: nowMs});
  }

  /**
   * Returns the load of all gateways on a backend server.
   * @param serverId - The backend server.
   * @param nowMs - Present time.
   */
  getLoad(serverId: string, nowMs: number): ServerLoad {
    let {openRequests, pendingPromptTokens} = this.own.get(serverId) ?? NO_LOAD;
    for (const {byServer, receivedAtMs} of this.peers.values()) {
      if (nowMs - receivedAtMs > PEER_LOAD_EXPIRY_MS) continue;
      const load = byServer.get(serverId) ?? NO_LOAD;
      openRequests += load.openRequests;
      pendingPromptTokens += load.pendingPromptTokens;
    }
    return {openRequests, pendingPromptTokens};
  }

  /** Returns the load of this gateway alone. */
  getOwnLoads(): ReadonlyMap<string, ServerLoad> {
    return this.own;
  }
}
