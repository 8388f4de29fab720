/** Positions in a shared log that can be restored from an older copy. */

/**
 * A position in a log. A restored log has a higher era; its offsets go back, and those above the copy's end are given out
 * again.
 */
export interface LogPosition {
  readonly era: number;
  /** Next offset to read. */
  readonly offset: number;
}

/** Nothing has been read. */
export const START_POSITION: LogPosition = {era: 0, offset: 0};

/** Returns a negative number if a position is before another one, 0 if they are the same, and else a positive number. */
export function comparePositions(one: LogPosition, other: LogPosition): number {
  return one.era - other.era || one.offset - other.offset;
}

/** Returns the later of two positions. */
export function getLaterPosition(one: LogPosition, other: LogPosition): LogPosition {
  return comparePositions(one, other) >= 0 ? one : other;
}
