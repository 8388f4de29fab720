/** Requests that wait until a backend server may have a place for them. */

/** Wakes all that wait; each makes its choice anew. */
export class SlotWaiters {
  private readonly waiters = new Set<() => void>();

  /**
   * Waits until `wake` is called.
   * @param maxWaitMs - Longest wait.
   */
  wait(maxWaitMs: number): Promise<void> {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, maxWaitMs);
      this.waiters.add(wake);
    });
  }

  /** Ends all waits, as a place may have become free. */
  wake(): void {
    for (const wake of [...this.waiters]) wake();
  }
}
