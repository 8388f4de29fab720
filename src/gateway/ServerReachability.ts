/** Finds out whether this gateway has lost its links to most backend servers, and when it regains them. */
import type {Catalog, KnownServer} from '../catalog/index.js';
import {LinkState, ServerContacts, chooseProbedServers} from '../controllers/reachability/index.js';
import type {BackendTransport} from '../exchange/index.js';
import type {EventLogger} from '../logging/index.js';

/** Constructor options of `ServerReachability`. */
export interface ServerReachabilityOptions {
  readonly catalog: Catalog;
  readonly transport: Pick<BackendTransport, 'canConnect' | 'closeIdleConnections'>;
  /** Returns the number of other gateways that are cut off. */
  readonly getCutOffPeerCount: (nowMs: number) => number;
  readonly events: EventLogger;
  /** Called when the links are lost or regained. */
  readonly onChange: () => void;
  /** Returns the monotonic time in milliseconds. */
  readonly getNowMs: () => number;
  /** Returns a random number from 0 to less than 1. */
  readonly random: () => number;
}

/** Interval at which the gateway's own traffic is examined. */
export const EXAMINE_INTERVAL_MS = 50;
const PROBES_PER_ROUND = 5;
/** Shortest time between two rounds while the links are sound: busy servers raise suspicions too. */
const ROUND_INTERVAL_MS = 1_000;
/** Interval at which the other gateways are examined. */
const PEER_CHECK_INTERVAL_MS = 200;
/** Connections on which nothing has been heard for longer may be dead; kept ones may also outlive a lost link. */
const MAX_SILENCE_MS = 500;
/** Time between two rounds while the links are lost. */
const LOST_ROUND_INTERVAL_MS = 300;

/** Watches the links of one gateway. Probes are sent only on suspicion, and while the links are lost. */
export class ServerReachability {
  private readonly options: ServerReachabilityOptions;
  private readonly contacts = new ServerContacts();
  private readonly links = new LinkState();
  private isProbing = false;
  private probedAtMs = -Infinity;
  private cutOffSinceMs: number | undefined;
  private peersCheckedAtMs = -Infinity;
  private cutOffPeers = 0;

  constructor(options: ServerReachabilityOptions) {
    this.options = options;
  }

  /** Whether the links to most backend servers are lost. */
  get isCutOff(): boolean {
    return this.links.isCutOff;
  }

  /** Whether some backend server was reached when they were last probed, or is heard on a kept connection. */
  get reachesAny(): boolean {
    return this.links.reachesAny || this.isHearing(this.options.getNowMs());
  }

  addAttempt({entry}: KnownServer, nowMs: number): void {
    this.contacts.addAttempt(entry.id, nowMs);
  }

  removeAttempt({entry}: KnownServer): void {
    this.contacts.removeAttempt(entry.id);
  }

  addSignOfLife({entry}: KnownServer, nowMs: number): void {
    this.contacts.addSignOfLife(entry.id, nowMs);
  }

  addFailure({entry}: KnownServer, nowMs: number): void {
    this.contacts.addFailure(entry.id, nowMs);
  }

  /** Examines the traffic, and probes servers if that is due; called at an interval. */
  async examine(): Promise<void> {
    const nowMs = this.options.getNowMs();
    if (this.isProbing || !this.isRoundDue(nowMs)) return;
    this.isProbing = true;
    this.probedAtMs = nowMs;
    try {
      await this.probe();
    } finally {
      this.isProbing = false;
    }
  }

  private isRoundDue(nowMs: number): boolean {
    const sinceRoundMs = nowMs - this.probedAtMs;
    if (this.links.isCutOff) return sinceRoundMs >= LOST_ROUND_INTERVAL_MS;
    if (sinceRoundMs < ROUND_INTERVAL_MS) return false;
    return this.contacts.isSuspicious(nowMs) || this.hasLostPeer(nowMs);
  }

  /** Returns whether another gateway has lost its links since the last check: this one may have too, without traffic. */
  private hasLostPeer(nowMs: number): boolean {
    if (nowMs - this.peersCheckedAtMs < PEER_CHECK_INTERVAL_MS) return false;
    this.peersCheckedAtMs = nowMs;
    const before = this.cutOffPeers;
    this.cutOffPeers = this.options.getCutOffPeerCount(nowMs);
    return this.cutOffPeers > before;
  }

  private isHearing(nowMs: number): boolean {
    return this.contacts.getSilenceMs(nowMs) < MAX_SILENCE_MS;
  }

  private async probe(): Promise<void> {
    const {catalog, transport, random} = this.options;
    const servers = chooseProbedServers(catalog.servers.getServers(), PROBES_PER_ROUND, random);
    const results = await Promise.all(servers.map(server => transport.canConnect(server)));
    const reached = results.filter(isReached => isReached).length;
    if (this.links.apply({reached, unreached: results.length - reached})) {
      this.handleChange(reached, results.length - reached);
    }
  }

  private handleChange(reached: number, unreached: number): void {
    const {transport, events, onChange, getNowMs} = this.options;
    const nowMs = getNowMs();
    if (this.links.isCutOff) {
      this.cutOffSinceMs = nowMs;
      // Connections may be dead by the time the links are back, without a sign of it.
      if (!this.isHearing(nowMs)) transport.closeIdleConnections();
      events.log('servers out of reach', {reached, unreached});
    } else {
      const cutOffMs = Math.round(nowMs - (this.cutOffSinceMs ?? nowMs));
      events.log('servers back in reach', {reached, unreached, cutOffMs});
    }
    onChange();
  }
}
