/**
 * Aligned tables for a terminal.
 *
 * @module
 */

const COLUMN_GAP = "  ";

/** Formats rows under a heading; all cells are text. */
export function formatTable(
  heading: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const all = [heading, ...rows];
  const widths = heading.map((_, column) =>
    Math.max(...all.map((row) => (row[column] ?? "").length))
  );
  const lines = all.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join(COLUMN_GAP).trimEnd()
  );
  return `${lines.join("\n")}\n`;
}
