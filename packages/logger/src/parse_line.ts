/**
 * Reads back the lines that the event log writes.
 */

/** One line of a log. */
export interface LogLine {
  timeMillis: number;
  level: string;
  event: string;
  fields: ReadonlyMap<string, string>;
}

const fieldPattern = /([\w.]+)=("(?:[^"\\]|\\.)*"|\S*)/g;

/** Undefined for a line that isn't an event; what stands before the time is passed over. */
export function parseLine(text: string): LogLine | undefined {
  const start = text.indexOf("time=");
  if (start < 0) return undefined;
  const fields = new Map<string, string>();
  for (const [, name, raw] of text.slice(start).matchAll(fieldPattern)) {
    fields.set(name, raw.startsWith('"') ? unquote(raw) : raw);
  }
  const timeMillis = Date.parse(fields.get("time") ?? "");
  const level = fields.get("level");
  const event = fields.get("event");
  if (Number.isNaN(timeMillis) || level === undefined || event === undefined) {
    return undefined;
  }
  for (const name of ["time", "level", "event"]) fields.delete(name);
  return { timeMillis, level, event, fields };
}

function unquote(raw: string): string {
  try {
    return JSON.parse(raw) as string;
  } catch {
    // A line that was cut short: its text is still worth showing.
    return raw.slice(1);
  }
}
