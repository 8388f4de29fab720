/** Takes some items of a list at a time, so that each is taken after some turns. */

/**
 * Returns `count` items from a cursor on, starting again at the beginning; all of them if there are no more.
 * @param cursor - Index of the first item; may be larger than the list.
 */
export function takeInTurn<Item>(
  items: readonly Item[],
  cursor: number,
  count: number,
): readonly Item[] {
  if (items.length <= count) return items;
  return Array.from({length: count}, (_, index) => items[(cursor + index) % items.length]);
}
