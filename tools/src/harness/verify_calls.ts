/**
 * Checks the outcomes reported to callers against what the targets ran.
 */
import type { TargetActivity } from "@bamboolane/standins/main_targets";
import type { CallResult } from "./caller.ts";

/** A safety property that did not hold, with the evidence. */
export interface Breach {
  /**
   * - `at-most-once`: targets ran a POST call more than once.
   * - `not-run`: a POST call was reported as not run, but a target ran it.
   * - `own-answer`: the answer is truncated or belongs to another request.
   */
  property: "at-most-once" | "not-run" | "own-answer";
  detail: string;
}

/** Counts how many times targets ran the call of each mark. */
function countRuns(targets: TargetActivity[]): Map<string, number> {
  const runs = new Map<string, number>();
  for (const { ran } of targets) {
    for (const { mark } of ran) {
      if (mark !== "") runs.set(mark, (runs.get(mark) ?? 0) + 1);
    }
  }
  return runs;
}

/**
 * Returns all breaches. The calls' bodies are their marks and must be unique;
 * calls without a body, which have no mark, are checked for `own-answer` only.
 */
export function verifyCalls(
  results: CallResult[],
  targets: TargetActivity[],
): Breach[] {
  const runs = countRuns(targets);
  const breaches: Breach[] = [];
  for (const result of results) {
    const { call } = result;
    const name = `${call.member}/${call.service}${call.path} ${call.body}`;
    if (result.invalid) breaches.push({ property: "own-answer", detail: name });
    if (call.body === "") continue;
    const count = runs.get(call.body) ?? 0;
    if (count > 1) {
      breaches.push({
        property: "at-most-once",
        detail: `${name} ran ${count} times`,
      });
    }
    if (result.outcome === "not-run" && count > 0) {
      breaches.push({
        property: "not-run",
        detail: `${name} (code ${result.code}) ran`,
      });
    }
  }
  return breaches;
}
