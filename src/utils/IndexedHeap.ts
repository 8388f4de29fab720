/** Binary heap whose items can be removed or moved at any position. */

/** Binary heap with the least item first. Each operation takes logarithmic time. */
export class IndexedHeap<Item> {
  private readonly items: Item[] = [];
  private readonly indices = new Map<Item, number>();
  private readonly isBefore: (a: Item, b: Item) => boolean;

  /** @param isBefore - Returns whether the first item comes before the second one. */
  constructor(isBefore: (a: Item, b: Item) => boolean) {
    this.isBefore = isBefore;
  }

  /** Number of items. */
  get size(): number {
    return this.items.length;
  }

  /** Returns the first item; undefined if there is none. */
  peek(): Item | undefined {
    return this.items[0];
  }

  /** Returns whether an item is contained. */
  has(item: Item): boolean {
    return this.indices.has(item);
  }

  /** Adds an item that isn't contained yet. */
  add(item: Item): void {
    this.items.push(item);
    this.siftUp(item, this.items.length - 1);
  }

  /** Removes an item; returns false if it isn't contained. */
  remove(item: Item): boolean {
    const index = this.indices.get(item);
    if (index === undefined) return false;
    this.indices.delete(item);
    const last = this.items.pop();
    if (last === undefined || last === item) return true;
    this.restore(last, index);
    return true;
  }

  /** Moves a contained item to its place after its order has changed; other items have no effect. */
  update(item: Item): void {
    const index = this.indices.get(item);
    if (index !== undefined) this.restore(item, index);
  }

  private restore(item: Item, index: number): void {
    const parent = this.items[(index - 1) >> 1];
    if (index > 0 && this.isBefore(item, parent)) this.siftUp(item, index);
    else this.siftDown(item, index);
  }

  private siftUp(item: Item, startIndex: number): void {
    let index = startIndex;
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = this.items[parentIndex];
      if (!this.isBefore(item, parent)) break;
      this.place(parent, index);
      index = parentIndex;
    }
    this.place(item, index);
  }

  private siftDown(item: Item, startIndex: number): void {
    const {length} = this.items;
    let index = startIndex;
    for (;;) {
      let childIndex = 2 * index + 1;
      if (childIndex >= length) break;
      const isRightFirst =
        childIndex + 1 < length &&
        this.isBefore(this.items[childIndex + 1], this.items[childIndex]);
      if (isRightFirst) childIndex += 1;
      const child = this.items[childIndex];
      if (!this.isBefore(child, item)) break;
      this.place(child, index);
      index = childIndex;
    }
    this.place(item, index);
  }

  private place(item: Item, index: number): void {
    this.items[index] = item;
    this.indices.set(item, index);
  }
}
