/** Applies the limits that backend servers name in their responses, to this gateway's share of them. */
import {getServerStartKey, type KnownServer} from '../catalog/index.js';
import {
  NamedLimits,
  ServerRateLimiter,
  ServerRateShares,
  type NamedLimit,
  type RateShare,
} from '../controllers/placement/index.js';
import type {EventLogger} from '../logging/index.js';
import {takeInTurn} from '../utils/index.js';

/** Constructor options of `ServerLimits`. */
export interface ServerLimitsOptions {
  /** Id of this gateway. */
  readonly ownId: string;
  readonly events: EventLogger;
  /** Returns the ids of the gateways that may be sending requests, including this one. */
  readonly getGatewayIds: (nowMs: number) => readonly string[];
  /** Returns whether this gateway has had time to learn of the other gateways since its start. */
  readonly isFleetKnown: (nowMs: number) => boolean;
  /** Returns the Unix time in milliseconds, the same at all gateways. */
  readonly getWallMs: () => number;
}

/**
 * Requests per second that a gateway's share is worth at least. With more and smaller shares, the single requests that
 * gateways may send at once would exceed the limit.
 */
const MIN_SHARE_PER_SECOND = 0.75;
/** A server states what it takes, with no margin to be left. */
const USED_FRACTION = 1;
/** Time for which a changed limit is sent with every datagram. */
const NEWS_MS = 1_500;
const LIMITS_IN_DATAGRAM = 16;

/** Follows the limits, shares them with the other gateways, and keeps to this gateway's share. */
export class ServerLimits {
  private readonly options: ServerLimitsOptions;
  private readonly limits = new NamedLimits();
  private readonly limiter = new ServerRateLimiter(USED_FRACTION);
  private readonly shares: ServerRateShares;
  /** Monotonic times at which limits changed, by server. */
  private readonly changedAtMs = new Map<bigint, number>();
  private cursor = 0;
  private onNews: () => void = () => undefined;

  constructor(options: ServerLimitsOptions) {
    this.options = options;
    this.shares = new ServerRateShares(options.ownId, MIN_SHARE_PER_SECOND);
  }

  /**
   * Sets what is called when a response to this gateway has changed a limit.
   * @param onNews - Sends the limits to the other gateways at once.
   */
  setNewsListener(onNews: () => void): void {
    this.onNews = onNews;
  }

  /**
   * Records what a response says of its server's limit.
   * @param perSecond - Undefined if the response names none.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  applyResponse({entry}: KnownServer, perSecond: number | undefined, nowMs: number): void {
    if (perSecond === undefined && this.limits.isEmpty) return;
    const key = getServerStartKey(entry);
    if (!this.limits.applyResponse(key, perSecond, this.options.getWallMs())) return;
    this.options.events.log('server limit', {
      server: entry.id,
      service: entry.service,
      perSecond,
      sinceChangeMs: this.getSinceChangeMs(key, nowMs),
    });
    this.changedAtMs.set(key, nowMs);
    this.onNews();
  }

  /**
   * Applies what another gateway knows; returns whether a limit has changed.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  applyLimits(limits: readonly NamedLimit[], nowMs: number): boolean {
    const wallMs = this.options.getWallMs();
    const changed = limits.filter(limit => this.limits.merge(limit, wallMs));
    for (const {serverKey} of changed) this.changedAtMs.set(serverKey, nowMs);
    return changed.length > 0;
  }

  /**
   * Returns the limits for a datagram: those that have changed, or some of all in turn.
   * @param isFull - Whether unchanged limits are included.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getLimits(isFull: boolean, nowMs: number): readonly NamedLimit[] {
    if (this.limits.isEmpty) return [];
    const all = this.limits.getAll(this.options.getWallMs());
    this.forgetChanges(all);
    const changed = all.filter(
      ({serverKey}) => nowMs - (this.changedAtMs.get(serverKey) ?? -Infinity) <= NEWS_MS,
    );
    if (!isFull) return changed.slice(-LIMITS_IN_DATAGRAM);
    const taken = takeInTurn(all, this.cursor, LIMITS_IN_DATAGRAM);
    this.cursor += LIMITS_IN_DATAGRAM;
    return [...new Set([...changed, ...taken])].slice(0, 2 * LIMITS_IN_DATAGRAM);
  }

  /**
   * Returns whether a server's limit allows another request of this gateway.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  hasCapacity({entry}: KnownServer, nowMs: number): boolean {
    const perSecond = this.getPerSecond(entry);
    if (perSecond === undefined) return true;
    if (!this.options.isFleetKnown(nowMs)) return false;
    const share = this.getShare(entry.id, perSecond, nowMs);
    return share !== undefined && this.limiter.hasCapacity(entry.id, share, nowMs);
  }

  /**
   * Deducts a request that is sent.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  addRequest({entry}: KnownServer, nowMs: number): void {
    const perSecond = this.getPerSecond(entry);
    if (perSecond === undefined) return;
    const share = this.getShare(entry.id, perSecond, nowMs);
    if (share) this.limiter.addRequest(entry.id, share, nowMs);
  }

  private getPerSecond(entry: KnownServer['entry']): number | undefined {
    if (this.limits.isEmpty) return undefined;
    return this.limits.getLimit(getServerStartKey(entry), this.options.getWallMs());
  }

  /** Returns this gateway's share of a limit; undefined if other gateways hold all shares. */
  private getShare(serverId: string, perSecond: number, nowMs: number): RateShare | undefined {
    return this.shares.getLimit(serverId, perSecond, this.options.getGatewayIds(nowMs));
  }

  private getSinceChangeMs(serverKey: bigint, nowMs: number): number | undefined {
    const changedAtMs = this.changedAtMs.get(serverKey);
    return changedAtMs === undefined ? undefined : Math.round(nowMs - changedAtMs);
  }

  private forgetChanges(limits: readonly NamedLimit[]): void {
    if (this.changedAtMs.size <= limits.length) return;
    const known = new Set(limits.map(({serverKey}) => serverKey));
    for (const key of this.changedAtMs.keys()) if (!known.has(key)) this.changedAtMs.delete(key);
  }
}
