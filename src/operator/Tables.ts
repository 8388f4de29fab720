/** Tables for people on a terminal. */

/** One cell; numbers stand at the right of their column. */
export type Cell = string | number;

const COLUMN_GAP = '  ';
const DURATION_UNITS = [
  {ms: 3_600_000, name: 'h'},
  {ms: 60_000, name: 'min'},
  {ms: 1_000, name: 's'},
] as const;

/**
 * Returns a table as lines.
 * @param headings - Heading of each column.
 * @param rows - Cells, row by row.
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

/** Returns an instant as people read it, to the second. */
export function formatInstant(atMs: number): string {
  return new Date(atMs).toISOString().replace(/\.\d+Z$/, 'Z');
}

/** Returns a duration in its largest fitting unit. */
export function formatDuration(durationMs: number): string {
  const unit = DURATION_UNITS.find(({ms}) => Math.abs(durationMs) >= ms) ?? {ms: 1, name: 'ms'};
  return `${Math.round((durationMs / unit.ms) * 10) / 10} ${unit.name}`;
}

function padCell(cell: Cell, width: number): string {
  return typeof cell === 'number' ? String(cell).padStart(width) : cell.padEnd(width);
}
