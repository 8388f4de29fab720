/** Divides the rate that a backend server takes among a few gateways, however many there are. */
import {rankByRendezvous} from '../../utils/index.js';
import type {RateShare} from './ServerRateLimiter.js';

/** Determines for each server which gateways may send requests to it; all gateways compute the same ones. */
export class ServerRateShares {
  private readonly ownId: string;
  private readonly minPerSecond: number;
  private gatewayIds: readonly string[] = [];
  /** This gateway's rank for a share, by server id, for the current `gatewayIds`. */
  private readonly ranksByServer = new Map<string, number>();

  /**
   * @param ownId - Id of this gateway.
   * @param minPerSecond - Requests per second that a share is worth at least. With smaller shares, the single requests
   * that gateways may send at once would add up to more than a server's limit.
   */
  constructor(ownId: string, minPerSecond: number) {
    this.ownId = ownId;
    this.minPerSecond = minPerSecond;
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
    const shares = Math.max(1, Math.floor(requestsPerSecond / this.minPerSecond));
    const gateways = Math.min(shares, gatewayIds.length);
    return this.getRank(serverId) < gateways ? {requestsPerSecond, gateways} : undefined;
  }

  private getRank(serverId: string): number {
    const known = this.ranksByServer.get(serverId);
    if (known !== undefined) return known;
    const ranked = rankByRendezvous(`cold ${serverId}`, this.gatewayIds, id => id);
    const rank = ranked.indexOf(this.ownId);
    this.ranksByServer.set(serverId, rank);
    return rank;
  }

  private setGateways(gatewayIds: readonly string[]): void {
    if (isSame(this.gatewayIds, gatewayIds)) return;
    this.gatewayIds = gatewayIds;
    this.ranksByServer.clear();
  }
}

function isSame(a: readonly string[], b: readonly string[]): boolean {
  return a === b || (a.length === b.length && a.every((id, index) => id === b[index]));
}
