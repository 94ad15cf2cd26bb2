/**
 * Formats the result of a publication as text.
 */
import type { PublishResult } from "@bamboolane/entry/publish_and_wait";

/** Formats the revision, the change id, and the instances by status. */
export function formatPublishResult(result: PublishResult): string {
  const names = (status: string) =>
    result.instances.filter((i) => i.status === status).map((i) => i.instance)
      .sort();
  const inForce = names("in-force");
  const cutOff = names("cut-off");
  return [
    `revision ${result.revision} published in ${result.elapsedMillis} ms`,
    `change id ${result.changeId}`,
    `in force (${inForce.length}): ${inForce.join(" ") || "none"}`,
    `cut off  (${cutOff.length}): ${cutOff.join(" ") || "none"}`,
  ].join("\n");
}
