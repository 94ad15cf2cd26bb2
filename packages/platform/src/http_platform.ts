/**
 * HTTP adapter to the platform's table, objects and instance list.
 */
import { Pool } from "undici";
import type { ListedInstance, Platform, Row, TransactResult } from "./ports.ts";
import { StoreUncertainError } from "./ports.ts";

const maxConnections = 8;

/** Options of {@link connectPlatform}. */
export interface PlatformOptions {
  timeoutMillis: number;
  /** Called once per call to the store, for metrics. */
  onCall?: (kind: "read" | "write" | "object" | "list") => void;
}

interface Reply {
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
): Promise<Reply> {
  try {
    const reply = await pool.request({
      ...request,
      signal: AbortSignal.timeout(timeoutMillis),
    });
    return {
      status: reply.statusCode,
      body: new Uint8Array(await reply.body.arrayBuffer()),
    };
  } catch (error) {
    throw new StoreUncertainError(`no answer: ${(error as Error).message}`);
  }
}

function parse<T>(reply: Reply): T {
  if (reply.status >= 300) {
    throw new StoreUncertainError(`store answered ${reply.status}`);
  }
  return JSON.parse(new TextDecoder().decode(reply.body)) as T;
}

/** Connects to the platform at `url`. */
export function connectPlatform(
  url: string,
  options: PlatformOptions,
): Platform {
  const pool = new Pool(url, { connections: maxConnections });
  const timeout = options.timeoutMillis;
  const onCall = options.onCall ?? (() => {});
  return {
    table: {
      async read(keys) {
        onCall("read");
        const body = JSON.stringify({ keys });
        return parse<Row[]>(
          await call(
            pool,
            { method: "POST", path: "/table/read", body },
            timeout,
          ),
        );
      },
      async scan(prefix, after, { limit }) {
        onCall("read");
        const body = JSON.stringify({ prefix, after, limit });
        return parse<Row[]>(
          await call(
            pool,
            { method: "POST", path: "/table/scan", body },
            timeout,
          ),
        );
      },
      async transact(writes, checks = []) {
        onCall("write");
        const body = JSON.stringify({ writes, checks });
        return parse<TransactResult>(
          await call(
            pool,
            { method: "POST", path: "/table/transact", body },
            timeout,
          ),
        );
      },
    },
    objects: {
      async read(hash) {
        onCall("object");
        const path = `/objects/${hash}`;
        const reply = await call(pool, { method: "GET", path }, timeout);
        if (reply.status === 404) return undefined;
        if (reply.status >= 300) {
          throw new StoreUncertainError(`store answered ${reply.status}`);
        }
        return reply.body;
      },
      async write(hash, content) {
        onCall("object");
        parse(
          await call(
            pool,
            { method: "PUT", path: `/objects/${hash}`, body: content },
            timeout,
          ),
        );
      },
    },
    instances: {
      async list() {
        onCall("list");
        return parse<ListedInstance[]>(
          await call(pool, { method: "GET", path: "/instances" }, timeout),
        );
      },
    },
    close: () => pool.destroy(),
  };
}
