/**
 * Compares what callers were told with what the targets really ran.
 */
import type { TargetActivity } from "@bamboolane/standins/main_targets";
import type { CallResult } from "./caller.ts";

/** A promise that was broken, with the evidence. */
export interface Breach {
  promise: "at-most-once" | "not-run" | "own-answer";
  detail: string;
}

/** Counts how often each mark of a non-idempotent call was run. */
function countRuns(targets: TargetActivity[]): Map<string, number> {
  const runs = new Map<string, number>();
  for (const { ran } of targets) {
    for (const { mark } of ran) {
      if (mark !== "") runs.set(mark, (runs.get(mark) ?? 0) + 1);
    }
  }
  return runs;
}

/** Lists all breaches. */
export function verifyCalls(
  results: CallResult[],
  targets: TargetActivity[],
): Breach[] {
  const runs = countRuns(targets);
  const breaches: Breach[] = [];
  for (const result of results) {
    const { call } = result;
    const name = `${call.member}/${call.service}${call.path} ${call.body}`;
    if (result.wrong) breaches.push({ promise: "own-answer", detail: name });
    if (call.body === "") continue;
    const count = runs.get(call.body) ?? 0;
    if (count > 1) {
      breaches.push({
        promise: "at-most-once",
        detail: `${name} ran ${count} times`,
      });
    }
    if (result.outcome === "not-run" && count > 0) {
      breaches.push({
        promise: "not-run",
        detail: `${name} (code ${result.code}) ran`,
      });
    }
  }
  return breaches;
}
