/** Lets callers wait until a log record that concerns their idempotency key has been applied. */
import type {Sleep} from '../log/index.js';

/** Waits keyed by workspace and idempotency key, each with a timeout. */
export class KeyWaiters {
  private readonly sleep: Sleep;
  private readonly waiters = new Map<string, Set<() => void>>();

  /**
   * @param sleep - Timer for the timeouts; replaced by virtual time in tests.
   */
  constructor(sleep: Sleep) {
    this.sleep = sleep;
  }

  /**
   * Resolves once the key is woken or the timeout has passed; the caller checks which of them happened.
   * @param workspace - Workspace that the key belongs to.
   * @param key - Idempotency key.
   * @param timeoutMs - Longest wait.
   */
  wait(workspace: string, key: string, timeoutMs: number): Promise<void> {
    const waiterId = toWaiterId(workspace, key);
    const waiters = this.waiters.get(waiterId) ?? new Set();
    this.waiters.set(waiterId, waiters);
    return new Promise(resolve => {
      const finish = () => {
        timer.abort();
        waiters.delete(finish);
        if (waiters.size === 0 && this.waiters.get(waiterId) === waiters) {
          this.waiters.delete(waiterId);
        }
        resolve();
      };
      const timer = new AbortController();
      waiters.add(finish);
      void this.sleep(timeoutMs, timer.signal).then(finish);
    });
  }

  /**
   * Resolves all waits for a key.
   * @param workspace - Workspace that the key belongs to.
   * @param key - Idempotency key.
   */
  wake(workspace: string, key: string): void {
    for (const finish of [...(this.waiters.get(toWaiterId(workspace, key)) ?? [])]) finish();
  }

  /** Resolves all waits, for shutdown. */
  wakeAll(): void {
    for (const waiters of [...this.waiters.values()]) {
      for (const finish of [...waiters]) finish();
    }
  }
}

function toWaiterId(workspace: string, key: string): string {
  return JSON.stringify([workspace, key]);
}
