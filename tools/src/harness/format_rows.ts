/**
 * Formats rows in aligned columns.
 */

/** Joins rows of equal length, the first being the heading, into one text. */
export function formatRows(rows: string[][]): string {
  const widths = rows[0].map((_, column) =>
    Math.max(...rows.map((row) => row[column].length))
  );
  return rows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column])).join("  ").trimEnd()
  ).join("\n");
}
