/**
 * Fetches the rows that another entry has and this one lacks. Entries that don't
 * follow the store, can't read it, or whose connection to it hangs rely on this.
 */
import type { EventLog } from "@bamboolane/logger/create_logger";
import { request } from "undici";
import { STATE_PATH } from "./directory_server.ts";
import type { RowDelta, RowVersions } from "./latest_rows.ts";

/**
 * Timeout of a fetch, so that an unresponsive peer doesn't block this entry;
 * links between regions take a fifth of it.
 */
const FETCH_TIMEOUT_MILLIS = 600;

/**
 * Fetches from one entry all changes after `completeTo`, and the configuration if
 * that entry has a newer one than `revision`; undefined if that fails.
 */
export async function fetchPeerState(
  address: string,
  options: { completeTo: RowVersions; revision: number; log: EventLog },
): Promise<RowDelta | undefined> {
  const [operator, targets] = options.completeTo;
  const query =
    `operator=${operator}&targets=${targets}&revision=${options.revision}`;
  try {
    const response = await request(`http://${address}${STATE_PATH}?${query}`, {
      signal: AbortSignal.timeout(FETCH_TIMEOUT_MILLIS),
    });
    const { statusCode } = response;
    if (statusCode !== 200) {
      await response.body.dump();
      throw new Error(`status ${statusCode}`);
    }
    const delta = await response.body.json();
    // Something else may listen at the address of an entry that has ended.
    if (!isRowDelta(delta)) throw new Error("not the state of an entry");
    // Entries of an older build send no `completeTo`.
    return { ...delta, completeTo: delta.completeTo ?? delta.versions };
  } catch (error) {
    options.log.info("borrow_failed", {
      from: address,
      error: (error as Error).message,
    });
    return undefined;
  }
}

function isRowDelta(value: unknown): value is RowDelta {
  const { rows, versions, completeTo = versions } = (value ?? {}) as Partial<
    RowDelta
  >;
  return Array.isArray(rows) && isRowVersions(versions) &&
    isRowVersions(completeTo) &&
    rows.every((row) =>
      typeof row?.kind === "string" && Number.isFinite(row.version)
    );
}

function isRowVersions(value: unknown): value is RowVersions {
  return Array.isArray(value) && value.length === 2 &&
    value.every(Number.isFinite);
}
