/**
 * Builds the timeline of one request from the logs of several processes: the
 * request's own lines, and state changes of its instances, targets and services
 * shortly before and during the request.
 */
import type { LogLine } from "@bamboolane/logger/parse_line";

/** One line of a request's timeline. */
export interface TimelineEntry {
  line: LogLine;
  /** True if the line carries the request's id; otherwise it is context. */
  own: boolean;
}

/**
 * State changes are included from this long before the request's first line;
 * state that changed earlier is considered stable.
 */
const CONTEXT_MILLIS = 10_000;

/** Events that concern the state of a whole process. */
const PROCESS_EVENTS: ReadonlySet<string> = new Set([
  "started",
  "ready",
  "stopping",
  "stopped",
  "reloaded",
  "reload_failed",
  "store_lost",
  "store_regained",
  "history_gap",
  "history_regained",
  "state_borrowed",
  "borrow_failed",
  "config_applied",
  "evacuated",
  "evacuation_over",
  "log_lines_dropped",
]);

/** Events that concern all requests of a service, although one request's answer told them. */
const STATEMENT_EVENTS: ReadonlySet<string> = new Set([
  "target_leaving",
  "target_pause",
]);

/** Builds the timeline in order of time; empty if no line carries the request's id. */
export function joinTimeline(
  lines: readonly LogLine[],
  request: string,
): TimelineEntry[] {
  const own = lines.filter((line) => line.fields.get("request") === request);
  if (own.length === 0) return [];
  const times = own.map((line) => line.timeMillis);
  const fromMillis = Math.min(...times) - CONTEXT_MILLIS;
  const toMillis = Math.max(...times);
  const instances = valuesOf(own, "instance");
  const targets = valuesOf(own, "target");
  const services = valuesOf(own, "service");
  const context = lines.filter((line) => {
    const { event, fields, timeMillis } = line;
    if (timeMillis < fromMillis || timeMillis > toMillis) return false;
    if (fields.has("request") && !STATEMENT_EVENTS.has(event)) return false;
    if (fields.get("request") === request) return false;
    if (!instances.has(fields.get("instance") ?? "")) return false;
    if (PROCESS_EVENTS.has(event)) return true;
    return event.startsWith("target_") &&
      (targets.has(fields.get("target") ?? "") ||
        services.has(fields.get("service") ?? ""));
  });
  return [
    ...own.map((line) => ({ line, own: true })),
    ...context.map((line) => ({ line, own: false })),
  ].sort((a, b) => a.line.timeMillis - b.line.timeMillis);
}

function valuesOf(lines: readonly LogLine[], field: string): Set<string> {
  const values = new Set<string>();
  for (const { fields } of lines) {
    const value = fields.get(field);
    if (value !== undefined) values.add(value);
  }
  return values;
}

/**
 * Formats the timeline. Each line holds the milliseconds since the request's
 * first line, `*` for the request's own lines, and the event.
 */
export function formatTimeline(timeline: readonly TimelineEntry[]): string {
  const startMillis = timeline.find((entry) => entry.own)?.line.timeMillis ?? 0;
  return timeline.map(({ line, own }) => {
    const offset = String(line.timeMillis - startMillis).padStart(7);
    const fields = [...line.fields]
      .filter(([name]) => name !== "request" || !own)
      .map(([name, value]) => `${name}=${value}`);
    return `${offset} ms ${own ? "*" : " "} ${line.event} ${fields.join(" ")}`
      .trimEnd();
  }).join("\n");
}
