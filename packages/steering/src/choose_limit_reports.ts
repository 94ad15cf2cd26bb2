/**
 * Chooses which observations of request limits an entry adds to its next message
 * to other entries. Messages are small, so recent changes go first, and the other
 * limits in force follow from a random position on; each of them is thus repeated
 * within a few messages, also for entries that started since or missed a message.
 */
import type { LimitObservation } from "./request_limit.ts";
import type { TargetState } from "./target_state.ts";

/** Maximum observations in one message. */
const MAX_REPORTS_PER_MESSAGE = 16;

/** Returns observations by target id. */
export function chooseLimitReports(
  targets: Iterable<TargetState>,
  options: { nowMillis: number; random: () => number },
): Map<string, LimitObservation> {
  const { nowMillis, random } = options;
  const changed: TargetState[] = [];
  const unchanged: TargetState[] = [];
  for (const target of targets) {
    const { requestLimit } = target;
    if (requestLimit.isAnnounced(nowMillis)) changed.push(target);
    else if (requestLimit.perSecond !== undefined) unchanged.push(target);
  }
  const chosen = [
    ...rotate(changed, random()),
    ...rotate(unchanged, random()),
  ].slice(0, MAX_REPORTS_PER_MESSAGE);
  return new Map(
    chosen.map(({ record, requestLimit }) => [record.id, requestLimit.latest]),
  );
}

/** The items from a position on, then those before it; `position` is in [0, 1). */
function rotate<T>(items: readonly T[], position: number): T[] {
  const start = Math.floor(position * items.length);
  return [...items.slice(start), ...items.slice(0, start)];
}
