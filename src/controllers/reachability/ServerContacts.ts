/** What a gateway's own traffic shows of its links to the backend servers. */

/** A server with open attempts. */
interface OpenContact {
  openAttempts: number;
  /** When the server was last heard of, or else when the first of the open attempts was sent. */
  silentSinceMs: number;
}

/** Longer than the pauses in the streams of several servers together, unless all of them are unreachable. */
const SILENCE_MS = 250;
/** A single server may read a long prompt, or be paused. */
const SINGLE_SILENCE_MS = 750;
/** Servers that have to be silent or to fail at the same time. */
const MIN_SUSPECTS = 2;
/** Time for which a failed connection counts. */
const FAILURE_WINDOW_MS = 1_000;

/**
 * Attempts at backend servers and the last signs of life. They only raise a suspicion, which probes of other servers
 * confirm: what is silent may be busy or paused, and what refuses connections may have stopped.
 */
export class ServerContacts {
  private readonly open = new Map<string, OpenContact>();
  /** Times of the latest failed connections, by server id. */
  private readonly failures = new Map<string, number>();
  private heardAtMs = -Infinity;

  /**
   * Records that an attempt is sent.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  addAttempt(serverId: string, nowMs: number): void {
    const contact = this.open.get(serverId);
    if (contact) contact.openAttempts += 1;
    else this.open.set(serverId, {openAttempts: 1, silentSinceMs: nowMs});
  }

  /** Records that an attempt has ended. */
  removeAttempt(serverId: string): void {
    const contact = this.open.get(serverId);
    if (!contact) return;
    contact.openAttempts -= 1;
    if (contact.openAttempts === 0) this.open.delete(serverId);
  }

  /**
   * Records that a part of a response has arrived.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  addSignOfLife(serverId: string, nowMs: number): void {
    this.heardAtMs = nowMs;
    this.failures.delete(serverId);
    const contact = this.open.get(serverId);
    if (contact) contact.silentSinceMs = nowMs;
  }

  /**
   * Records that a server couldn't be reached.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  addFailure(serverId: string, nowMs: number): void {
    this.failures.set(serverId, nowMs);
  }

  /**
   * Returns the time since a server was last heard of; infinite before the first time.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getSilenceMs(nowMs: number): number {
    return nowMs - this.heardAtMs;
  }

  /**
   * Returns whether the links to the backend servers may be lost: nothing is heard of any of them although several
   * should answer, or several refuse connections.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  isSuspicious(nowMs: number): boolean {
    this.forgetFailures(nowMs);
    if (this.failures.size >= MIN_SUSPECTS) return true;
    if (this.getSilenceMs(nowMs) < SILENCE_MS) return false;
    const silent = [...this.open.values()].filter(
      ({silentSinceMs}) => nowMs - silentSinceMs >= SILENCE_MS,
    );
    if (silent.length >= MIN_SUSPECTS) return true;
    return silent.some(({silentSinceMs}) => nowMs - silentSinceMs >= SINGLE_SILENCE_MS);
  }

  private forgetFailures(nowMs: number): void {
    for (const [serverId, failedAtMs] of this.failures) {
      if (nowMs - failedAtMs > FAILURE_WINDOW_MS) this.failures.delete(serverId);
    }
  }
}
