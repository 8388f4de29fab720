/** Recent failures of backend servers, as this gateway has met them. */

/** How a try at a backend server ended, as far as its health is concerned. */
export type HealthOutcome = 'good' | 'failed' | 'unreachable' | 'full';

interface Health {
  /** Smoothed share of failures. */
  failureShare: number;
  /** Tries that reached no server, in a row. */
  unreachableInRow: number;
  avoidUntilMs: number;
  updatedAtMs: number;
}

/** Weight of the newest outcome in the smoothed share. */
const OUTCOME_WEIGHT = 0.2;
/** Failures are forgotten by half in this time, so that a server that gets nothing is tried again. */
const HALF_LIFE_MS = 2_000;
/** First pause after a try that reached no server; doubles with each further one. */
const UNREACHABLE_PAUSE_MS = 500;
const MAX_UNREACHABLE_PAUSE_MS = 4_000;
/** Pause of a server that says it is full. */
const FULL_PAUSE_MS = 100;

/** Remembers failures of backend servers. */
export class ServerHealth {
  private readonly byServer = new Map<string, Health>();

  /**
   * Notes how a try ended.
   * @param serverId - The backend server.
   * @param outcome - How it ended.
   * @param nowMs - Present time.
   */
  addOutcome(serverId: string, outcome: HealthOutcome, nowMs: number): void {
    const health = this.getHealth(serverId, nowMs);
    const failureShare = this.getFailureShare(serverId, nowMs);
    const isFailure = outcome === 'failed' || outcome === 'unreachable';
    health.failureShare = failureShare + OUTCOME_WEIGHT * ((isFailure ? 1 : 0) - failureShare);
    health.updatedAtMs = nowMs;
    health.unreachableInRow = outcome === 'unreachable' ? health.unreachableInRow + 1 : 0;
    if (outcome === 'unreachable') health.avoidUntilMs = nowMs + getPauseMs(health);
    if (outcome === 'full') health.avoidUntilMs = nowMs + FULL_PAUSE_MS;
  }

  /**
   * Returns whether a backend server is passed over where another one can do.
   * @param serverId - The backend server.
   * @param nowMs - Present time.
   */
  isAvoided(serverId: string, nowMs: number): boolean {
    return nowMs < (this.byServer.get(serverId)?.avoidUntilMs ?? -Infinity);
  }

  /**
   * Returns the share of failures among recent tries, from 0 to 1.
   * @param serverId - The backend server.
   * @param nowMs - Present time.
   */
  getFailureShare(serverId: string, nowMs: number): number {
    const health = this.byServer.get(serverId);
    if (!health) return 0;
    return health.failureShare * 0.5 ** ((nowMs - health.updatedAtMs) / HALF_LIFE_MS);
  }

  /**
   * Forgets a backend server.
   * @param serverId - The backend server.
   */
  removeServer(serverId: string): void {
    this.byServer.delete(serverId);
  }

  private getHealth(serverId: string, nowMs: number): Health {
    const found = this.byServer.get(serverId);
    if (found) return found;
    const created: Health = {
      failureShare: 0,
      unreachableInRow: 0,
      avoidUntilMs: -Infinity,
      updatedAtMs: nowMs,
    };
    this.byServer.set(serverId, created);
    return created;
  }
}

function getPauseMs({unreachableInRow}: Health): number {
  return Math.min(MAX_UNREACHABLE_PAUSE_MS, UNREACHABLE_PAUSE_MS * 2 ** (unreachableInRow - 1));
}
