/** The event after which a stream is resumed, and which events of a resumed stream the caller already has. */

const DECIMAL_INTEGER = /^\d+$/;
const LEADING_ZEROS = /^0+(?=\d)/;

/**
 * Recognises the events at the start of a resumed stream that were forwarded before: a server may begin again at an
 * earlier event than it was asked for. After the first newer event nothing is a repetition.
 */
export class ResumePoint {
  private lastEventId: string | undefined;

  /** @param lastEventId - Id of the last event that the caller has; undefined if the stream isn't resumed. */
  constructor(lastEventId: string | undefined) {
    this.lastEventId = lastEventId;
  }

  /**
   * Returns whether the caller already has the next event of the stream.
   * @param eventId - Id of the event; undefined if it has none.
   */
  isRepeated(eventId: string | undefined): boolean {
    if (this.lastEventId === undefined || eventId === undefined) return false;
    const order = compareEventIds(eventId, this.lastEventId);
    if (order !== undefined && order > 0) this.lastEventId = undefined;
    return order !== undefined && order <= 0;
  }
}

/**
 * Compares the ids of two events. Decimal integers are compared exactly, however long they are: ids that are built from
 * a time and a count exceed the integers that a number can hold.
 * @returns A negative number, 0 or a positive number; undefined if the ids differ and have no known order.
 */
export function compareEventIds(first: string, second: string): number | undefined {
  if (first === second) return 0;
  if (!DECIMAL_INTEGER.test(first) || !DECIMAL_INTEGER.test(second)) return undefined;
  const firstDigits = first.replace(LEADING_ZEROS, '');
  const secondDigits = second.replace(LEADING_ZEROS, '');
  if (firstDigits.length !== secondDigits.length) return firstDigits.length - secondDigits.length;
  if (firstDigits === secondDigits) return 0;
  return firstDigits < secondDigits ? -1 : 1;
}
