/**
 * Compares two plain values field by field.
 */

/** One field that differs. */
export interface Difference {
  path: string;
  before: unknown;
  after: unknown;
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null;
}

/**
 * Returns a record's or a list's values by key. List items are keyed by their
 * id if they have one, so that reordered items are not differences.
 */
function valuesByKey(value: Record<string, unknown>): Map<string, unknown> {
  if (!Array.isArray(value)) return new Map(Object.entries(value));
  return new Map(value.map((item, index) => {
    const id = isRecord(item) && typeof item.id === "string"
      ? item.id
      : String(index);
    return [id, item];
  }));
}

/** Lists the differences between two values. */
export function diffValues(
  before: unknown,
  after: unknown,
  path = "",
): Difference[] {
  if (!isRecord(before) || !isRecord(after)) {
    return before === after ? [] : [{ path, before, after }];
  }
  const left = valuesByKey(before);
  const right = valuesByKey(after);
  const names = new Set([...left.keys(), ...right.keys()]);
  return [...names].flatMap((name) =>
    diffValues(
      left.get(name),
      right.get(name),
      path === "" ? name : `${path}.${name}`,
    )
  );
}

/** Formats one difference as a line of text. */
export function formatDifference(difference: Difference): string {
  const { path, before, after } = difference;
  if (before === undefined) return `+ ${path}: ${JSON.stringify(after)}`;
  if (after === undefined) return `- ${path}: ${JSON.stringify(before)}`;
  return `~ ${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
}
