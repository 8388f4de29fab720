/** Event queue of a discrete-event simulation. */

interface ScheduledEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** Binary heap of events with a virtual clock; events with the same time run in the order in which they were added. */
export class EventQueue {
  private readonly heap: ScheduledEvent[] = [];
  private nextOrder = 0;
  private nowMs = 0;

  /** Returns the virtual time in milliseconds: that of the running event, or the end of the last run. */
  getNowMs(): number {
    return this.nowMs;
  }

  /**
   * Schedules an event.
   * @param delayMs - Delay from the current virtual time.
   */
  addEvent(delayMs: number, run: () => void): void {
    const event = {atMs: this.nowMs + delayMs, order: this.nextOrder++, run};
    this.heap.push(event);
    this.moveUp(this.heap.length - 1);
  }

  /**
   * Runs all events due up to and including a time, then sets the clock to it.
   * @param endMs - Virtual time in milliseconds.
   */
  runUntil(endMs: number): void {
    for (let next = this.heap[0]; next && next.atMs <= endMs; next = this.heap[0]) {
      this.removeFirst();
      this.nowMs = next.atMs;
      next.run();
    }
    this.nowMs = endMs;
  }

  private removeFirst(): void {
    const last = this.heap.pop();
    if (!last || this.heap.length === 0) return;
    this.heap[0] = last;
    this.moveDown(0);
  }

  private moveUp(start: number): void {
    for (let index = start; index > 0;) {
      const parent = (index - 1) >> 1;
      if (!this.isBefore(index, parent)) return;
      this.swap(index, parent);
      index = parent;
    }
  }

  private moveDown(start: number): void {
    for (let index = start; ;) {
      const [left, right] = [index * 2 + 1, index * 2 + 2];
      let first = index;
      if (left < this.heap.length && this.isBefore(left, first)) first = left;
      if (right < this.heap.length && this.isBefore(right, first)) first = right;
      if (first === index) return;
      this.swap(index, first);
      index = first;
    }
  }

  private isBefore(one: number, other: number): boolean {
    const [a, b] = [this.heap[one], this.heap[other]];
    return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
  }

  private swap(one: number, other: number): void {
    [this.heap[one], this.heap[other]] = [this.heap[other], this.heap[one]];
  }
}
