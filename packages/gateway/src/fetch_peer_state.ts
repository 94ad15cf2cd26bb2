/**
 * Fetches the rows that another entry has and this one lacks. Entries that don't
 * follow the store, can't read it, or whose connection to it hangs rely on this.
 */
import type { EventLog } from "@bamboolane/logger/create_logger";
import { request } from "undici";
import { decodeRowDelta } from "./decode_row_delta.ts";
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
    if (response.statusCode !== 200) {
      await response.body.dump();
      throw new Error(`status ${response.statusCode}`);
    }
    return decodeRowDelta(await response.body.json());
  } catch (error) {
    options.log.info("borrow_failed", {
      from: address,
      error: (error as Error).message,
    });
    return undefined;
  }
}
