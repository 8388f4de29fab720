/** A virtual clock that advances only after all pending promises have settled, for deterministic tests of timing. */
import type {Sleep} from '../../src/log/index.js';

interface Timer {
  readonly dueAtMs: number;
  readonly order: number;
  readonly fire: () => void;
}

/** Virtual clock with timers; timers fire in order of due time, then of creation. */
export class VirtualTime {
  private nowMs = 0;
  private nextOrder = 0;
  private timers: Timer[] = [];

  readonly getNowMs = (): number => this.nowMs;

  readonly sleep: Sleep = (durationMs, signal) =>
    new Promise(resolve => {
      if (signal?.aborted) return resolve();
      const finish = () => {
        this.timers = this.timers.filter(other => other !== timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const dueAtMs = this.nowMs + Math.max(durationMs, 0);
      const timer = {dueAtMs, order: this.nextOrder++, fire: finish};
      this.timers.push(timer);
      signal?.addEventListener('abort', finish);
    });

  /**
   * Advances the clock, firing due timers one by one and letting promises settle before each.
   */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.nowMs + durationMs;
    for (;;) {
      await settle();
      const next = this.getNextTimer();
      if (!next || next.dueAtMs > endMs) break;
      this.nowMs = Math.max(this.nowMs, next.dueAtMs);
      next.fire();
    }
    this.nowMs = endMs;
  }

  private getNextTimer(): Timer | undefined {
    let first: Timer | undefined;
    for (const timer of this.timers) {
      if (!first || timer.dueAtMs < first.dueAtMs) first = timer;
      else if (timer.dueAtMs === first.dueAtMs && timer.order < first.order) first = timer;
    }
    return first;
  }
}

/** Runs the microtask queue until every ready promise waits again. */
function settle(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
