/**
 * Reads what another entry knows and this one doesn't: entries that don't
 * follow the store, can't read it, or whose connection to it fell silent live
 * on that.
 */
import type { EventLog } from "@bamboolane/logger/create_logger";
import { request } from "undici";
import { statePath } from "./directory_server.ts";
import type { RowDelta, RowVersions } from "./row_archive.ts";

/** Links between regions take a fifth of it; a silent peer must not hold us up. */
const timeoutMillis = 600;

/** Asks one entry for all rows after `versions`; undefined where it doesn't answer. */
export async function borrowState(
  address: string,
  options: { versions: RowVersions; log: EventLog },
): Promise<RowDelta | undefined> {
  const [operator, targets] = options.versions;
  const query = `operator=${operator}&targets=${targets}`;
  try {
    const response = await request(`http://${address}${statePath}?${query}`, {
      signal: AbortSignal.timeout(timeoutMillis),
    });
    return await response.body.json() as RowDelta;
  } catch (error) {
    options.log.info("borrow_failed", {
      from: address,
      error: (error as Error).message,
    });
    return undefined;
  }
}
