/**
 * Selects the headers of a request or an answer that are forwarded: those that apply to
 * one connection only are not.
 */

/** Headers that apply to one connection only and are not forwarded. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "proxy-authenticate",
  "proxy-authorization",
  "transfer-encoding",
  "te",
  "trailer",
  "upgrade",
  "expect",
  "content-length",
]);

/** Removes the headers that apply to one connection, and those in `excluded`. */
export function endToEndHeaders(
  raw: readonly string[],
  excluded: ReadonlySet<string>,
): string[] {
  const kept: string[] = [];
  const listedNames = connectionOptions(raw);
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i].toLowerCase();
    if (
      CONNECTION_HEADERS.has(name) || excluded.has(name) ||
      listedNames?.has(name)
    ) continue;
    kept.push(raw[i], raw[i + 1]);
  }
  return kept;
}

/** Header names that a Connection header lists besides `close` and `keep-alive`. */
function connectionOptions(raw: readonly string[]): Set<string> | undefined {
  let listedNames: Set<string> | undefined;
  for (let i = 0; i + 1 < raw.length; i += 2) {
    if (raw[i].length !== 10 || raw[i].toLowerCase() !== "connection") continue;
    for (const option of raw[i + 1].split(",")) {
      const name = option.trim().toLowerCase();
      if (name === "close" || name === "keep-alive") continue;
      listedNames ??= new Set();
      listedNames.add(name);
    }
  }
  return listedNames;
}
