/**
 * Summarizes the results of calls by member, service, route and kind of
 * idempotency key.
 */
import { build } from "hdr-histogram-js";
import type { CallResult } from "./caller.ts";

/** Numbers of calls by outcome. */
export interface CallTotals {
  sent: number;
  /** Calls with the outcome `ran`. */
  complete: number;
  notRun: number;
  unknown: number;
}

/** Counts calls by outcome. */
export function totalCalls(results: CallResult[]): CallTotals {
  const count = (outcome: string) =>
    results.filter((r) => r.outcome === outcome).length;
  return {
    sent: results.length,
    complete: count("ran"),
    notRun: count("not-run"),
    unknown: count("unknown"),
  };
}

/** Rows of a table with one group of calls each, the heading first. */
export function tabulateCalls(results: CallResult[]): string[][] {
  const groups = new Map<string, CallResult[]>();
  for (const result of results) {
    const { member, service, path, key } = result.call;
    const route = path.split("/")[1];
    const name = `${member}|${service}|/${route}${
      key === "none" ? "" : ` (${key})`
    }`;
    groups.set(name, [...groups.get(name) ?? [], result]);
  }
  const rows = [...groups].sort(([a], [b]) => a < b ? -1 : 1).map(
    ([name, group]) => {
      const histogram = build({ numberOfSignificantValueDigits: 3 });
      for (const result of group) {
        histogram.recordValue(Math.max(1, Math.round(result.durationMillis)));
      }
      const totals = totalCalls(group);
      return [
        ...name.split("|"),
        String(totals.sent),
        String(totals.complete),
        String(totals.notRun),
        String(totals.unknown),
        String(histogram.getValueAtPercentile(50)),
        String(histogram.getValueAtPercentile(99)),
      ];
    },
  );
  const heading = [
    "MEMBER",
    "SERVICE",
    "ROUTE",
    "SENT",
    "COMPLETE",
    "NOT RUN",
    "UNKNOWN",
  ];
  return [[...heading, "P50 MS", "P99 MS"], ...rows];
}
