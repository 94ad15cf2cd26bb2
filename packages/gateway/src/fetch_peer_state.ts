/**
 * Fetches the rows that another entry has and this one lacks. Entries that don't
 * follow the store, can't read it, or whose connection to it hangs rely on this.
 */
import type { EventLog } from "@bamboolane/logger/create_logger";
import type { Readable } from "node:stream";
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
 * Maximum size of all answers that are being read together: an entry without state asks
 * all others at the same time. Exceeds the state of the largest fleet.
 */
const MAX_ANSWER_BYTES = 8_388_608;

/** What one entry holds of the answers that it is reading. */
export class PeerAnswerMemory {
  #heldBytes = 0;

  /** Reads an answer; throws an error if all answers together exceed the memory. */
  async read(body: Readable): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    try {
      for await (const chunk of body) {
        if (this.#heldBytes + chunk.length > MAX_ANSWER_BYTES) {
          throw new Error(
            `more than ${MAX_ANSWER_BYTES} bytes, with other answers`,
          );
        }
        chunks.push(chunk);
        bytes += chunk.length;
        this.#heldBytes += chunk.length;
      }
      return Buffer.concat(chunks);
    } finally {
      this.#heldBytes -= bytes;
    }
  }
}

/**
 * Fetches from one entry all changes after `completeTo`, and the configuration if
 * that entry has a newer one than `revision`; undefined if that fails.
 */
export async function fetchPeerState(
  address: string,
  options: {
    completeTo: RowVersions;
    revision: number;
    memory: PeerAnswerMemory;
    log: EventLog;
  },
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
    const bytes = await options.memory.read(response.body);
    return decodeRowDelta(JSON.parse(bytes.toString("utf8")));
  } catch (error) {
    options.log.info("borrow_failed", {
      from: address,
      error: (error as Error).message,
    });
    return undefined;
  }
}
