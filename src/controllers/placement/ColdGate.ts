/** Limits the requests that this gateway sends to a cold backend server to its part of what the server bears. */

interface Tokens {
  level: number;
  updatedAtMs: number;
}

/** What the limit depends on. */
export interface ColdLimit {
  /** Requests a second that a cold server bears from all gateways. */
  readonly requestsPerSecond: number;
  /** Gateways that share the limit. */
  readonly gateways: number;
}

/** Part of the bearable rate that is used; the rest covers gateways that count differently. */
const USED_SHARE = 0.9;
const MS_PER_SECOND = 1_000;

/** Token buckets of cold backend servers. */
export class ColdGate {
  private readonly buckets = new Map<string, Tokens>();

  /**
   * Returns whether a request may be sent now.
   * @param serverId - The cold backend server.
   * @param limit - Its limit.
   * @param nowMs - Present time.
   */
  hasRoom(serverId: string, limit: ColdLimit, nowMs: number): boolean {
    return this.refill(serverId, limit, nowMs).level >= 1;
  }

  /**
   * Notes a request that is sent.
   * @param serverId - The cold backend server.
   * @param limit - Its limit.
   * @param nowMs - Present time.
   */
  addRequest(serverId: string, limit: ColdLimit, nowMs: number): void {
    this.refill(serverId, limit, nowMs).level -= 1;
  }

  /**
   * Forgets a backend server.
   * @param serverId - The backend server.
   */
  removeServer(serverId: string): void {
    this.buckets.delete(serverId);
  }

  private refill(serverId: string, limit: ColdLimit, nowMs: number): Tokens {
    const perSecond = (limit.requestsPerSecond * USED_SHARE) / Math.max(1, limit.gateways);
    const bucket = this.buckets.get(serverId) ?? {level: 1, updatedAtMs: nowMs};
    const added = ((nowMs - bucket.updatedAtMs) * perSecond) / MS_PER_SECOND;
    bucket.level = Math.min(Math.max(1, perSecond / 2), bucket.level + added);
    bucket.updatedAtMs = nowMs;
    this.buckets.set(serverId, bucket);
    return bucket;
  }
}
