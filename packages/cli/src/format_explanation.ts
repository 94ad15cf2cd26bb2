/**
 * Formats routing decisions as text: a line each, `name=value` pairs.
 */

/** Fields of one decision. */
export type Fields = Record<string, string | number | boolean | string[]>;

/** Formats one decision or a list of them; empty texts and lists read `none`. */
export function formatExplanation(
  value: { decisions: Fields[] } | Fields,
): string {
  const list = "decisions" in value ? value.decisions as Fields[] : [value];
  return list.map(formatFields).join("\n");
}

function formatFields(fields: Fields): string {
  return Object.entries(fields).map(([name, value]) =>
    `${name}=${String(value) === "" ? "none" : value}`
  ).join(" ");
}
