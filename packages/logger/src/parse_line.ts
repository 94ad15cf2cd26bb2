/**
 * Parses the lines that the event log writes.
 */

/** A parsed line of the event log. */
export interface LogLine {
  timeMillis: number;
  level: string;
  event: string;
  fields: ReadonlyMap<string, string>;
}

const FIELD_PATTERN = /([\w.]+)=("(?:[^"\\]|\\.)*"|\S*)/g;

/**
 * Parses one line; undefined if it is not an event. Text before the `time`
 * field is ignored.
 */
export function parseLine(text: string): LogLine | undefined {
  const start = text.indexOf("time=");
  if (start < 0) return undefined;
  const fields = new Map<string, string>();
  for (const [, name, raw] of text.slice(start).matchAll(FIELD_PATTERN)) {
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
    // The quoted value was truncated; return it without the opening quote.
    return raw.slice(1);
  }
}
