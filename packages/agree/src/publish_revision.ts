/**
 * Publishes a revision: writes the body as an immutable object, then the head
 * row by compare-and-set. If the store's answer is lost, the history is
 * searched for the change id, so that a change takes effect at most once and
 * its result is never reported wrongly.
 */
import type {
  ConfigBody,
  ConfigHead,
  FleetConfig,
} from "@bamboolane/types/fleet";
import { ResultCode } from "@bamboolane/errors/result_code";
import { SteeringError } from "@bamboolane/errors/steering_error";
import {
  type Platform,
  type RowCheck,
  StoreUncertainError,
} from "@bamboolane/platform/ports";
import { contentHash, encodeBody } from "./content_hash.ts";
import { HEAD_KEY, type HeadRow, readBody, readHead } from "./read_revision.ts";

/** A change to publish, made by an operator or a duty. */
export interface ConfigChange {
  changeId: string;
  /**
   * True if the change may have been sent before; the history is then searched
   * further back.
   */
  resend?: boolean;
  operator: string;
  summary: string;
  /** Revision that the change is based on; undefined for the newest. */
  baseRevision?: number;
  /** Returns the new document; throws a {@link SteeringError} to refuse. */
  edit(current: FleetConfig | undefined): FleetConfig;
  /** Content hashes of block chunks; undefined keeps those in force. */
  blockChunks?: string[];
  /** Further commit conditions, such as a lease that must still be held. */
  checks?: RowCheck[];
}

/** A published revision. */
export interface PublishedRevision {
  head: ConfigHead;
  body: ConfigBody;
}

/** Attempts after which the result of a change is reported as in doubt. */
const MAX_ATTEMPTS = 5;
/** Revisions searched for a change that may already have been written. */
const RESEND_SEARCH_DEPTH = 50;
/** Revisions searched for a change that was not sent before. */
const INITIAL_SEARCH_DEPTH = 1;

/** Result of a search of the history for a change. */
type ChangeSearch =
  | { kind: "found"; revision: PublishedRevision }
  | { kind: "absent" }
  /** A revision that may hold the change can't be read. */
  | { kind: "unreadable" };

async function findChange(
  platform: Platform,
  head: ConfigHead | undefined,
  options: { changeId: string; depth: number },
): Promise<ChangeSearch> {
  const { changeId } = options;
  let hash = head?.hash ?? "";
  for (let depth = 0; depth < options.depth && hash !== ""; depth++) {
    const body = await readBody(platform, hash);
    if (body === undefined) return { kind: "unreadable" };
    if (body.changeId === changeId) {
      const found = { revision: body.revision, hash, changeId };
      return { kind: "found", revision: { head: found, body } };
    }
    hash = body.previousHash;
  }
  return { kind: "absent" };
}

function conflict(
  change: ConfigChange,
  winner: ConfigBody | undefined,
): SteeringError {
  const accepted = winner === undefined
    ? "another change"
    : `change ${winner.changeId} by ${winner.operator} (revision ${winner.revision}: ${winner.summary})`;
  return new SteeringError(
    ResultCode.conflict,
    `Yours: ${change.changeId} by ${change.operator} (${change.summary}). Accepted: ${accepted}.`,
  );
}

/** Assembles the next revision on top of `current`. */
export function assembleRevision(
  change: ConfigChange,
  current: { head: ConfigHead; body: ConfigBody } | undefined,
): PublishedRevision & { content: Uint8Array } {
  const body: ConfigBody = {
    revision: (current?.head.revision ?? 0) + 1,
    changeId: change.changeId,
    operator: change.operator,
    summary: change.summary,
    previousHash: current?.head.hash ?? "",
    fleet: change.edit(current?.body.fleet),
    blockChunks: change.blockChunks ?? current?.body.blockChunks ?? [],
  };
  const content = encodeBody(body);
  const hash = contentHash(content);
  const head = { revision: body.revision, hash, changeId: change.changeId };
  return { head, body, content };
}

async function readCurrent(
  platform: Platform,
  row: HeadRow,
): Promise<PublishedRevision | undefined> {
  if (row.head === undefined) return undefined;
  const body = await readBody(platform, row.head.hash);
  if (body === undefined) {
    throw new SteeringError(
      ResultCode.storeAway,
      "The newest revision can't be read.",
    );
  }
  return { head: row.head, body };
}

/** Makes one attempt; "uncertain" if it isn't known whether the change was written. */
async function tryPublish(
  platform: Platform,
  change: ConfigChange,
  options: { mayHaveWritten: boolean },
): Promise<PublishedRevision | "uncertain"> {
  const row = await readHead(platform);
  const { changeId } = change;
  const depth = options.mayHaveWritten
    ? RESEND_SEARCH_DEPTH
    : INITIAL_SEARCH_DEPTH;
  const existing = await findChange(platform, row.head, { changeId, depth });
  switch (existing.kind) {
    case "found":
      return existing.revision;
    case "unreadable":
      // The change may be in force.
      if (options.mayHaveWritten) return "uncertain";
      break;
    case "absent":
      break;
  }
  const current = await readCurrent(platform, row);
  if (
    change.baseRevision !== undefined &&
    change.baseRevision !== (row.head?.revision ?? 0)
  ) {
    throw conflict(change, current?.body);
  }
  const next = assembleRevision(change, current);
  await platform.objects.write(next.head.hash, next.content);
  try {
    const result = await platform.table.transact(
      [{ key: HEAD_KEY, expectVersion: row.version, value: next.head }],
      change.checks,
    );
    if (result.kind === "committed") {
      return { head: next.head, body: next.body };
    }
  } catch (error) {
    if (error instanceof StoreUncertainError) return "uncertain";
    throw error;
  }
  const after = await readHead(platform);
  const search = await findChange(platform, after.head, {
    changeId,
    depth: RESEND_SEARCH_DEPTH,
  });
  switch (search.kind) {
    case "found":
      return search.revision;
    case "unreadable":
      // An earlier attempt may be what conflicts with this one.
      if (options.mayHaveWritten) return "uncertain";
      break;
    case "absent":
      break;
  }
  const winner = after.head && await readBody(platform, after.head.hash);
  throw conflict(change, winner);
}

/**
 * Publishes a change. Rejects with a {@link SteeringError} if it conflicts, the
 * store is unavailable, or the result is in doubt.
 */
export async function publishRevision(
  platform: Platform,
  change: ConfigChange,
): Promise<PublishedRevision> {
  let mayHaveWritten = change.resend ?? false;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    try {
      const result = await tryPublish(platform, change, { mayHaveWritten });
      if (result !== "uncertain") return result;
      mayHaveWritten = true;
    } catch (error) {
      if (!(error instanceof StoreUncertainError)) throw error;
      if (!mayHaveWritten) {
        throw new SteeringError(ResultCode.storeAway, error.message);
      }
    }
  }
  throw new SteeringError(
    ResultCode.publishInDoubt,
    `Change id: ${change.changeId}.`,
  );
}
