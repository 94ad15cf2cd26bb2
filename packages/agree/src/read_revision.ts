/**
 * Reads the head row and immutable revisions from the platform.
 */
import type { ConfigBody, ConfigHead } from "@bamboolane/types/fleet";
import type { Platform } from "@bamboolane/platform/ports";
import { decodeBody } from "./content_hash.ts";

/** Key of the table row that names the revision in force. */
export const HEAD_KEY = "config/head";

/** The head row; version 0 before the first publication. */
export interface HeadRow {
  version: number;
  head: ConfigHead | undefined;
}

/** Reads the head row. */
export async function readHead(platform: Platform): Promise<HeadRow> {
  const [row] = await platform.table.read([HEAD_KEY]);
  return {
    version: row.version,
    head: row.value as ConfigHead | undefined ?? undefined,
  };
}

/** Reads a revision's body by content hash; undefined if the store has no valid copy. */
export async function readBody(
  platform: Platform,
  hash: string,
): Promise<ConfigBody | undefined> {
  const content = await platform.objects.read(hash);
  return content === undefined ? undefined : decodeBody(content, hash);
}

/** One revision in the history. */
export interface HistoryEntry {
  revision: number;
  hash: string;
  changeId: string;
  operator: string;
  summary: string;
}

/** Reads the history back from `head`, newest first, up to a missing revision. */
export async function readHistory(
  platform: Platform,
  head: ConfigHead,
  options: { limit: number },
): Promise<HistoryEntry[]> {
  const entries: HistoryEntry[] = [];
  let hash = head.hash;
  while (hash !== "" && entries.length < options.limit) {
    const body = await readBody(platform, hash);
    if (body === undefined) return entries;
    const { revision, changeId, operator, summary } = body;
    entries.push({ revision, hash, changeId, operator, summary });
    hash = body.previousHash;
  }
  return entries;
}
