/** A set with a maximum size, which evicts the oldest values. */

/** Set of the most recently added strings; adding a string again doesn't renew its position. */
export class BoundedSet {
  private readonly maxSize: number;
  private readonly values = new Set<string>();

  /**
   * @param maxSize - Number of values above which the oldest is evicted.
   */
  constructor(maxSize: number) {
    this.maxSize = maxSize;
  }

  /**
   * Adds a value; evicts the oldest one if the set is full.
   * @param value - Value to add.
   * @returns Whether the value was not in the set.
   */
  add(value: string): boolean {
    if (this.values.has(value)) return false;
    this.values.add(value);
    if (this.values.size > this.maxSize) this.deleteOldest();
    return true;
  }

  /**
   * Removes a value.
   * @param value - Value to remove.
   * @returns Whether the value was in the set.
   */
  delete(value: string): boolean {
    return this.values.delete(value);
  }

  private deleteOldest(): void {
    for (const oldest of this.values) {
      this.values.delete(oldest);
      return;
    }
  }
}
