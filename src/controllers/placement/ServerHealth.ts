/** Passive health checks: the health of each backend server, from the outcomes of this gateway's attempts. */

/** Outcome of an attempt for the server's health; `full`: the server didn't run the request for lack of capacity. */
export type HealthOutcome = 'good' | 'failed' | 'unreachable' | 'full';

interface Health {
  /** Moving average of the failure rate, from 0 to 1, as of `updatedAtMs`. */
  failureShare: number;
  /** Consecutive attempts that couldn't reach the server. */
  consecutiveUnreachable: number;
  /** Time until which other servers are preferred. */
  backoffUntilMs: number;
  updatedAtMs: number;
}

/** Weight of the newest outcome in the moving average. */
const OUTCOME_WEIGHT = 0.2;
/** Half-life of the failure rate. It decays without requests too, so that an unused server gets requests again. */
const HALF_LIFE_MS = 2_000;
/** First backoff after an attempt that couldn't reach the server; doubles with each consecutive one. */
const UNREACHABLE_BACKOFF_MS = 500;
const MAX_UNREACHABLE_BACKOFF_MS = 4_000;
/** Backoff after a server refused a request for lack of capacity. */
const FULL_BACKOFF_MS = 100;

/** Tracks the failure rate and the backoff of each backend server. */
export class ServerHealth {
  private readonly byServer = new Map<string, Health>();

  /**
   * Records the outcome of an attempt.
   * @param nowMs - Monotonic time in milliseconds.
   */
  addOutcome(serverId: string, outcome: HealthOutcome, nowMs: number): void {
    const health = this.getHealth(serverId, nowMs);
    const failureShare = this.getFailureRate(serverId, nowMs);
    const isFailure = outcome === 'failed' || outcome === 'unreachable';
    health.failureShare = failureShare + OUTCOME_WEIGHT * ((isFailure ? 1 : 0) - failureShare);
    health.updatedAtMs = nowMs;
    health.consecutiveUnreachable =
      outcome === 'unreachable' ? health.consecutiveUnreachable + 1 : 0;
    if (outcome === 'unreachable') health.backoffUntilMs = nowMs + getBackoffMs(health);
    if (outcome === 'full') health.backoffUntilMs = nowMs + FULL_BACKOFF_MS;
  }

  /** Returns whether a backend server is in backoff: it should be used only if no other server is available. */
  isInBackoff(serverId: string, nowMs: number): boolean {
    return nowMs < (this.byServer.get(serverId)?.backoffUntilMs ?? -Infinity);
  }

  /** Returns the decayed failure rate of recent attempts, from 0 to 1. */
  getFailureRate(serverId: string, nowMs: number): number {
    const health = this.byServer.get(serverId);
    if (!health) return 0;
    return health.failureShare * 0.5 ** ((nowMs - health.updatedAtMs) / HALF_LIFE_MS);
  }

  /** Drops the health record of a backend server. */
  removeServer(serverId: string): void {
    this.byServer.delete(serverId);
  }

  private getHealth(serverId: string, nowMs: number): Health {
    const found = this.byServer.get(serverId);
    if (found) return found;
    const created: Health = {
      failureShare: 0,
      consecutiveUnreachable: 0,
      backoffUntilMs: -Infinity,
      updatedAtMs: nowMs,
    };
    this.byServer.set(serverId, created);
    return created;
  }
}

function getBackoffMs({consecutiveUnreachable}: Health): number {
  return Math.min(
    MAX_UNREACHABLE_BACKOFF_MS,
    UNREACHABLE_BACKOFF_MS * 2 ** (consecutiveUnreachable - 1),
  );
}
