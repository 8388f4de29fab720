/** Rate limit of this gateway for single backend servers: its share of what a server takes from all gateways together. */

interface TokenBucket {
  /** Requests that may be sent at once. */
  level: number;
  updatedAtMs: number;
}

/** This gateway's share of the rate that a backend server takes. */
export interface RateShare {
  /** Requests per second that the server takes from all gateways together. */
  readonly requestsPerSecond: number;
  /** Gateways that share the limit equally, this one included. */
  readonly gateways: number;
}

const MS_PER_SECOND = 1_000;

/** One token bucket for each backend server; it holds half a second's worth of requests, and at least one. */
export class ServerRateLimiter {
  private readonly buckets = new Map<string, TokenBucket>();
  private readonly usedFraction: number;

  /**
   * @param usedFraction - Fraction of the limits that is used; the rest is a margin for gateways that assume a different
   * number of gateways.
   */
  constructor(usedFraction: number) {
    this.usedFraction = usedFraction;
  }

  /** Returns whether the rate limit allows a request now; nothing is deducted. */
  hasCapacity(serverId: string, limit: RateShare, nowMs: number): boolean {
    return this.refill(serverId, limit, nowMs).level >= 1;
  }

  /** Deducts a request that is sent. */
  addRequest(serverId: string, limit: RateShare, nowMs: number): void {
    this.refill(serverId, limit, nowMs).level -= 1;
  }

  /** Drops the bucket of a backend server. */
  removeServer(serverId: string): void {
    this.buckets.delete(serverId);
  }

  private refill(serverId: string, limit: RateShare, nowMs: number): TokenBucket {
    const perSecond = (limit.requestsPerSecond * this.usedFraction) / Math.max(1, limit.gateways);
    const bucket = this.buckets.get(serverId) ?? {level: 1, updatedAtMs: nowMs};
    const added = ((nowMs - bucket.updatedAtMs) * perSecond) / MS_PER_SECOND;
    bucket.level = Math.min(Math.max(1, perSecond / 2), bucket.level + added);
    bucket.updatedAtMs = nowMs;
    this.buckets.set(serverId, bucket);
    return bucket;
  }
}
