/** A set that forgets its oldest members beyond a size. */

/** Remembers the newest texts. */
export class BoundedSet {
  private readonly maxSize: number;
  private readonly members = new Set<string>();

  /**
   * @param maxSize - Largest number of members.
   */
  constructor(maxSize: number) {
    this.maxSize = maxSize;
  }

  /**
   * Adds a text.
   * @param text - The text.
   * @returns Whether it is new.
   */
  add(text: string): boolean {
    if (this.members.has(text)) return false;
    this.members.add(text);
    if (this.members.size > this.maxSize) this.deleteOldest();
    return true;
  }

  /**
   * Removes a text.
   * @param text - The text.
   * @returns Whether it was there.
   */
  delete(text: string): boolean {
    return this.members.delete(text);
  }

  private deleteOldest(): void {
    for (const oldest of this.members) {
      this.members.delete(oldest);
      return;
    }
  }
}
