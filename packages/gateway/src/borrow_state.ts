/**
 * Reads the state of another entry, for one that can't read the store or
 * whose connection to it fell silent.
 */
import type { EventLog } from "@bamboolane/logger/create_logger";
import type { StateRow } from "@bamboolane/steering/steering_config";
import { request } from "undici";
import { statePath } from "./directory_server.ts";

/** What an entry hands out. */
export interface BorrowedState {
  rows: StateRow[];
}

/** Links between regions take a fifth of it; a silent peer must not hold us up. */
const timeoutMillis = 600;

/** Asks one entry; undefined where it doesn't answer. */
export async function borrowState(
  address: string,
  log: EventLog,
): Promise<BorrowedState | undefined> {
  try {
    const response = await request(`http://${address}${statePath}`, {
      signal: AbortSignal.timeout(timeoutMillis),
    });
    return await response.body.json() as BorrowedState;
  } catch (error) {
    log.info("borrow_failed", {
      from: address,
      error: (error as Error).message,
    });
    return undefined;
  }
}
