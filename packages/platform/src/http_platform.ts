/**
 * HTTP adapter to the platform's table, objects and instance list.
 */
import { Pool } from "undici";
import type { ListedInstance, Platform, Row, TransactResult } from "./ports.ts";
import { StoreUncertainError } from "./ports.ts";

const MAX_CONNECTIONS = 8;

/** Options of {@link connectPlatform}. */
export interface PlatformOptions {
  timeoutMillis: number;
  /** Called before each call to the store, for metrics. */
  onCall?: (kind: "read" | "write" | "object" | "list") => void;
}

interface PlatformResponse {
  status: number;
  body: Uint8Array;
}

async function call(
  pool: Pool,
  request: {
    method: "GET" | "POST" | "PUT";
    path: string;
    body?: string | Uint8Array;
  },
  timeoutMillis: number,
): Promise<PlatformResponse> {
  try {
    const response = await pool.request({
      ...request,
      signal: AbortSignal.timeout(timeoutMillis),
    });
    return {
      status: response.statusCode,
      body: new Uint8Array(await response.body.arrayBuffer()),
    };
  } catch (error) {
    throw new StoreUncertainError(`no response: ${(error as Error).message}`);
  }
}

function parseResponse<T>(response: PlatformResponse): T {
  if (response.status >= 300) {
    throw new StoreUncertainError(`store returned ${response.status}`);
  }
  try {
    return JSON.parse(new TextDecoder().decode(response.body)) as T;
  } catch (error) {
    throw new StoreUncertainError(
      `unreadable response: ${(error as Error).message}`,
    );
  }
}

/**
 * Connects to the platform at `url`. Calls reject with
 * {@link StoreUncertainError} if no response arrives in time or the store
 * returns an error status.
 */
export function connectPlatform(
  url: string,
  options: PlatformOptions,
): Platform {
  const pool = new Pool(url, { connections: MAX_CONNECTIONS });
  const callTimeoutMillis = options.timeoutMillis;
  const onCall = options.onCall ?? (() => {});
  return {
    table: {
      async read(keys) {
        onCall("read");
        const body = JSON.stringify({ keys });
        return parseResponse<Row[]>(
          await call(
            pool,
            { method: "POST", path: "/table/read", body },
            callTimeoutMillis,
          ),
        );
      },
      async scan(prefix, after, { limit }) {
        onCall("read");
        const body = JSON.stringify({ prefix, after, limit });
        return parseResponse<Row[]>(
          await call(
            pool,
            { method: "POST", path: "/table/scan", body },
            callTimeoutMillis,
          ),
        );
      },
      async transact(writes, checks = []) {
        onCall("write");
        const body = JSON.stringify({ writes, checks });
        return parseResponse<TransactResult>(
          await call(
            pool,
            { method: "POST", path: "/table/transact", body },
            callTimeoutMillis,
          ),
        );
      },
    },
    objects: {
      async read(hash) {
        onCall("object");
        const path = `/objects/${hash}`;
        const response = await call(
          pool,
          { method: "GET", path },
          callTimeoutMillis,
        );
        if (response.status === 404) return undefined;
        if (response.status >= 300) {
          throw new StoreUncertainError(`store returned ${response.status}`);
        }
        return response.body;
      },
      async write(hash, content) {
        onCall("object");
        parseResponse(
          await call(
            pool,
            { method: "PUT", path: `/objects/${hash}`, body: content },
            callTimeoutMillis,
          ),
        );
      },
    },
    instances: {
      async list() {
        onCall("list");
        return parseResponse<ListedInstance[]>(
          await call(
            pool,
            { method: "GET", path: "/instances" },
            callTimeoutMillis,
          ),
        );
      },
    },
    close: () => pool.destroy(),
  };
}
