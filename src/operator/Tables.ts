/** Tables for people on a terminal. */

/** One cell; numbers stand at the right of their column. */
export type Cell = string | number;

const COLUMN_GAP = '  ';

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

function padCell(cell: Cell, width: number): string {
  return typeof cell === 'number' ? String(cell).padStart(width) : cell.padEnd(width);
}
