/**
 * Prints a command's result as text or JSON.
 */
import process from "node:process";

/** Formats for `--output`. */
export const OutputFormat = { text: "text", json: "json" } as const;

/** One of the values of {@link OutputFormat}. */
export type OutputFormat = typeof OutputFormat[keyof typeof OutputFormat];

/** Prints `value` as JSON, or as text formatted by `toText`. */
export function printResult<T>(
  value: T,
  options: { output: OutputFormat; toText: (value: T) => string },
): void {
  const text = options.output === OutputFormat.json
    ? JSON.stringify(value, null, 2)
    : options.toText(value);
  process.stdout.write(text + "\n");
}

/** Formats rows in aligned columns; the first row is the header. */
export function formatTable(rows: string[][]): string {
  const widths = rows[0].map((_, column) =>
    Math.max(...rows.map((row) => row[column].length))
  );
  return rows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column])).join("  ").trimEnd()
  ).join("\n");
}
