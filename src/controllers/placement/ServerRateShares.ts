/** Divides the rate that a backend server takes among a few gateways, however many there are. */
import {rankByRendezvous} from '../../utils/index.js';
import type {RateShare} from './ServerRateLimiter.js';

/**
 * Requests per second that a gateway's share is worth at least. With smaller shares, the single requests that gateways
 * may send at once would add up to more than the server's limit.
 */
const MIN_REQUESTS_PER_SECOND = 1.5;

/** Determines for each server which gateways may send requests to it; all gateways compute the same ones. */
export class ServerRateShares {
  private readonly ownId: string;
  private gatewayIds: readonly string[] = [];
  /** Whether this gateway has a share, by server id, for the current `gatewayIds`. */
  private readonly hasShareByServer = new Map<string, boolean>();

  /** @param ownId - Id of this gateway. */
  constructor(ownId: string) {
    this.ownId = ownId;
  }

  /**
   * Returns this gateway's share of a server's rate; undefined if other gateways hold all shares.
   * @param serverId - Id of the server.
   * @param requestsPerSecond - Rate that the server takes from all gateways together.
   * @param gatewayIds - All gateways that may be running, this one included, in any order.
   */
  getLimit(
    serverId: string,
    requestsPerSecond: number,
    gatewayIds: readonly string[],
  ): RateShare | undefined {
    this.setGateways(gatewayIds);
    const shares = Math.max(1, Math.floor(requestsPerSecond / MIN_REQUESTS_PER_SECOND));
    const gateways = Math.min(shares, gatewayIds.length);
    return this.hasShare(serverId, gateways) ? {requestsPerSecond, gateways} : undefined;
  }

  private hasShare(serverId: string, gateways: number): boolean {
    const known = this.hasShareByServer.get(serverId);
    if (known !== undefined) return known;
    const ranked = rankByRendezvous(`cold ${serverId}`, this.gatewayIds, id => id);
    const hasShare = ranked.slice(0, gateways).includes(this.ownId);
    this.hasShareByServer.set(serverId, hasShare);
    return hasShare;
  }

  private setGateways(gatewayIds: readonly string[]): void {
    if (isSame(this.gatewayIds, gatewayIds)) return;
    this.gatewayIds = gatewayIds;
    this.hasShareByServer.clear();
  }
}

function isSame(a: readonly string[], b: readonly string[]): boolean {
  return a === b || (a.length === b.length && a.every((id, index) => id === b[index]));
}
