/** Lets requests wait until a backend server may have a free slot. */

/** Wakes all waiting requests at once; each then chooses a backend server again. */
export class SlotWaiters {
  private readonly waiters = new Set<() => void>();

  /**
   * Waits until `wake` is called.
   * @param maxWaitMs - Timeout, after which the promise resolves as well.
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

  /** Resolves all waits; called when a slot may have become free. */
  wake(): void {
    for (const wake of [...this.waiters]) wake();
  }
}
