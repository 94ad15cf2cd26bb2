/**
 * Formats rows in aligned columns.
 */

/** The first row is the heading. */
export function formatRows(rows: string[][]): string {
  const widths = rows[0].map((_, column) =>
    Math.max(...rows.map((row) => row[column].length))
  );
  return rows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column])).join("  ").trimEnd()
  ).join("\n");
}
