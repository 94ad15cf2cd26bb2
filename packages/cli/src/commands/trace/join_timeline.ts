/**
 * Joins the lines of several processes into the story of one request: its own
 * lines, and what its instances came to believe shortly before about the
 * targets and the service that it met.
 */
import type { LogLine } from "@bamboolane/logger/parse_line";

/** One line of the story. */
export interface TimelineEntry {
  line: LogLine;
  /** The line names the request; otherwise it is context. */
  own: boolean;
}

/** Context reaches this far back: beliefs older than that were stable. */
const contextMillis = 10_000;

/** Events that change what a whole process believes or does. */
const processEvents: ReadonlySet<string> = new Set([
  "started",
  "ready",
  "stopping",
  "stopped",
  "reloaded",
  "reload_failed",
  "store_lost",
  "store_regained",
  "history_gap",
  "state_borrowed",
  "borrow_failed",
  "config_applied",
  "evacuated",
  "evacuation_over",
  "log_lines_dropped",
]);

/** The story in order of time; empty where no line names the request. */
export function joinTimeline(
  lines: readonly LogLine[],
  request: string,
): TimelineEntry[] {
  const own = lines.filter((line) => line.fields.get("request") === request);
  if (own.length === 0) return [];
  const times = own.map((line) => line.timeMillis);
  const fromMillis = Math.min(...times) - contextMillis;
  const toMillis = Math.max(...times);
  const instances = valuesOf(own, "instance");
  const targets = valuesOf(own, "target");
  const services = valuesOf(own, "service");
  const context = lines.filter((line) => {
    const { event, fields, timeMillis } = line;
    if (timeMillis < fromMillis || timeMillis > toMillis) return false;
    if (fields.has("request")) return false;
    if (!instances.has(fields.get("instance") ?? "")) return false;
    if (processEvents.has(event)) return true;
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

/** Formats the story: milliseconds from the request's first line, then the event. */
export function formatTimeline(timeline: readonly TimelineEntry[]): string {
  const startMillis = timeline.find((entry) => entry.own)?.line.timeMillis ?? 0;
  return timeline.map(({ line, own }) => {
    const offset = String(line.timeMillis - startMillis).padStart(7);
    const fields = [...line.fields]
      .filter(([name]) => name !== "request")
      .map(([name, value]) => `${name}=${value}`);
    return `${offset} ms ${own ? "*" : " "} ${line.event} ${fields.join(" ")}`
      .trimEnd();
  }).join("\n");
}
