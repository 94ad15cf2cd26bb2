/**
 * The report format shared by all benches.
 */
import { formatRows } from "../harness/format_rows.ts";

/** One of the variants that a bench compares, with its figures; their names carry the units. */
export interface BenchArm {
  name: string;
  [figure: string]: number | string;
}

/** A limit on a figure, and whether it holds. */
export interface BenchBound {
  name: string;
  /** The bound as text, such as `<= 1.2`. */
  bound: string;
  value: number;
  holds: boolean;
}

/** Result of one bench. */
export interface BenchReport {
  bench: string;
  seed: number;
  arms: BenchArm[];
  bounds: BenchBound[];
}

/** Options that every bench takes. */
export interface BenchOptions {
  seed: number;
  /** Scales durations, 1 being the full length; drain, move and overload ignore it. */
  scale: number;
}

/** Runs one bench. */
export type Bench = (options: BenchOptions) => Promise<BenchReport>;

/** A bound that holds where the value is at most `limit`. */
export function atMost(name: string, value: number, limit: number): BenchBound {
  return {
    name,
    bound: `<= ${limit}`,
    value: round(value),
    holds: value <= limit,
  };
}

/** A bound that holds where the value is at least `limit`. */
export function atLeast(
  name: string,
  value: number,
  limit: number,
): BenchBound {
  return {
    name,
    bound: `>= ${limit}`,
    value: round(value),
    holds: value >= limit,
  };
}

/** Rounds to three decimals. */
export function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}

/** The `share` quantile of unsorted values; NaN if there are none, so that no bound holds. */
export function quantile(values: readonly number[], share: number): number {
  if (values.length === 0) return NaN;
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
}

/** Formats a report as tables. */
export function formatBench(report: BenchReport): string {
  const columns = [...new Set(report.arms.flatMap((arm) => Object.keys(arm)))];
  const arms = report.arms.map((arm) =>
    columns.map((c) => String(arm[c] ?? "-"))
  );
  const bounds = report.bounds.map((b) => [
    b.name,
    b.bound,
    String(b.value),
    b.holds ? "holds" : "MISSED",
  ]);
  const parts = [
    `bench ${report.bench}, seed ${report.seed}`,
    formatRows([columns, ...arms]),
  ];
  if (bounds.length > 0) {
    parts.push(formatRows([["bound", "limit", "value", "verdict"], ...bounds]));
  }
  return parts.join("\n\n");
}
