/** Wakes those who wait for a record about a key. */
import type {Sleep} from '../log/index.js';

/** Waits by key, each with a timeout. */
export class KeyWaiters {
  private readonly sleep: Sleep;
  private readonly waiters = new Map<string, Set<() => void>>();

  /**
   * @param sleep - Waits for a time.
   */
  constructor(sleep: Sleep) {
    this.sleep = sleep;
  }

  /**
   * Resolves once the key is woken or the time is over.
   * @param workspace - Workspace of the key.
   * @param key - The key.
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
   * Wakes those who wait for a key.
   * @param workspace - Workspace of the key.
   * @param key - The key.
   */
  wake(workspace: string, key: string): void {
    for (const finish of [...(this.waiters.get(toWaiterId(workspace, key)) ?? [])]) finish();
  }

  /** Wakes everyone. */
  wakeAll(): void {
    for (const waiters of [...this.waiters.values()]) {
      for (const finish of [...waiters]) finish();
    }
  }
}

function toWaiterId(workspace: string, key: string): string {
  return JSON.stringify([workspace, key]);
}
