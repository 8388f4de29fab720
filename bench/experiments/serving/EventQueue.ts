/** Virtual time: events in the order of their instants. */

interface PlacedEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** A clock that jumps from event to event; those of one instant run in the order in which they were added. */
export class EventQueue {
  private readonly heap: PlacedEvent[] = [];
  private nextOrder = 0;
  private nowMs = 0;

  /** Returns the instant of the event that runs. */
  getNowMs(): number {
    return this.nowMs;
  }

  /**
   * Adds an event.
   * @param delayMs - Time from now.
   * @param run - What happens.
   */
  addEvent(delayMs: number, run: () => void): void {
    const event = {atMs: this.nowMs + delayMs, order: this.nextOrder++, run};
    this.heap.push(event);
    this.moveUp(this.heap.length - 1);
  }

  /**
   * Runs events until none is left or the next one lies behind an instant.
   * @param endMs - The instant.
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
