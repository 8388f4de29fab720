/** Formats tables, timestamps and durations for the terminal. */

/** A table cell; numbers are right-aligned, strings left-aligned. */
export type Cell = string | number;

const COLUMN_GAP = '  ';
const DURATION_UNITS = [
  {ms: 3_600_000, name: 'h'},
  {ms: 60_000, name: 'min'},
  {ms: 1_000, name: 's'},
] as const;

/**
 * Formats a table as lines, with each column as wide as its widest cell.
 * @param headings - One for each column; further cells of a row are not aligned.
 */
export function formatTable(
  headings: readonly string[],
  rows: ReadonlyArray<readonly Cell[]>,
): readonly string[] {
  const widths = headings.map((heading, column) =>
    Math.max(heading.length, ...rows.map(row => String(row[column] ?? '').length)),
  );
  return [headings, ...rows].map(row =>
    row
      .map((cell, column) => padCell(cell, widths[column] ?? 0))
      .join(COLUMN_GAP)
      .trimEnd(),
  );
}

/** Formats a Unix time in milliseconds as an ISO 8601 timestamp in UTC, truncated to seconds. */
export function formatTimestamp(timestampMs: number): string {
  return new Date(timestampMs).toISOString().replace(/\.\d+Z$/, 'Z');
}

/** Formats a duration, which may be negative, with up to one decimal in the largest fitting unit: h, min, s or ms. */
export function formatDuration(durationMs: number): string {
  const unit = DURATION_UNITS.find(({ms}) => Math.abs(durationMs) >= ms) ?? {ms: 1, name: 'ms'};
  return `${Math.round((durationMs / unit.ms) * 10) / 10} ${unit.name}`;
}

function padCell(cell: Cell, width: number): string {
  return typeof cell === 'number' ? String(cell).padStart(width) : cell.padEnd(width);
}
