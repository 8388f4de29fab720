/** Times for which backend servers want no requests, as they state when they refuse one. */
import {getServerStartKey, type ServerStart} from '../../catalog/index.js';

/** Pauses by the starts of the servers: one that starts again isn't bound by what it said before. */
export class ServerPauses {
  private readonly untilMsByStart = new Map<bigint, number>();

  /**
   * Records that a server wants nothing for some time.
   * @param durationMs - A pause that ends earlier than a known one changes nothing.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  addPause(server: ServerStart, durationMs: number, nowMs: number): void {
    const key = getServerStartKey(server);
    const untilMs = Math.max(nowMs + durationMs, this.untilMsByStart.get(key) ?? -Infinity);
    this.untilMsByStart.set(key, untilMs);
    this.forgetEnded(nowMs);
  }

  /** Returns the time in milliseconds until the server wants requests again; 0 if it does now. */
  getRemainingMs(server: ServerStart, nowMs: number): number {
    if (this.untilMsByStart.size === 0) return 0;
    const untilMs = this.untilMsByStart.get(getServerStartKey(server)) ?? -Infinity;
    return Math.max(0, untilMs - nowMs);
  }

  private forgetEnded(nowMs: number): void {
    for (const [key, untilMs] of this.untilMsByStart) {
      if (untilMs <= nowMs) this.untilMsByStart.delete(key);
    }
  }
}
