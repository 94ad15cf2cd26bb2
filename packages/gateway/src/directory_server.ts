/**
 * HTTP servers besides the one for callers: the directory of entries, the
 * readiness check, and the state for the other entries.
 */
import { createServer, type Server, type ServerResponse } from "node:http";
import { selectEntries } from "@bamboolane/steering/select_entries";
import type { EventLog } from "@bamboolane/logger/create_logger";
import type { EntryRecord } from "@bamboolane/steering/steering_config";
import type { CallerDialect } from "./caller_dialect.ts";
import type { GatewayState } from "./gateway_state.ts";
import { listen } from "./listen.ts";

/** Path at which other entries read this one's state. */
export const STATE_PATH = "/v1/state";

/** Options of {@link serveDirectory}. */
export interface DirectoryOptions {
  log: EventLog;
  dialect: CallerDialect;
  state: GatewayState;
  /** How long callers may cache an answer. */
  ttlMillis: number;
  isReady: () => boolean;
  /** Entries that callers may use. */
  liveEntries: () => EntryRecord[];
}

function writeJson(
  response: ServerResponse,
  status: number,
  body: string,
): void {
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
  });
  response.end(body);
}

/** Starts the directory of entries. */
export async function serveDirectory(
  address: string,
  options: DirectoryOptions,
): Promise<Server> {
  const { dialect } = options;
  const server = createServer((request, response) => {
    const [path, query] = (request.url ?? "/").split("?", 2);
    if (path !== dialect.directoryPath) return writeJson(response, 404, "{}");
    const location = dialect.parseLocation(new URLSearchParams(query));
    const addresses = selectEntries(location, options.liveEntries());
    if (addresses.length === 0) return writeJson(response, 503, "{}");
    writeJson(
      response,
      200,
      dialect.formatEntries(addresses, options.ttlMillis),
    );
  });
  await listen(server, address, options);
  return server;
}

/** Starts the readiness check. */
export async function serveReadiness(
  address: string,
  options: Pick<DirectoryOptions, "log" | "dialect" | "isReady">,
): Promise<Server> {
  const server = createServer((request, response) => {
    const known = request.url === options.dialect.readinessPath;
    const status = !known ? 404 : options.isReady() ? 200 : 503;
    writeJson(response, status, "{}");
  });
  await listen(server, address, options);
  return server;
}

/** Starts the server from which other entries read this one's state. */
export async function serveState(
  address: string,
  options: Pick<DirectoryOptions, "log" | "state">,
): Promise<Server> {
  const server = createServer((request, response) => {
    const [path, query] = (request.url ?? "/").split("?", 2);
    if (path !== STATE_PATH) return writeJson(response, 404, "{}");
    const parameters = new URLSearchParams(query);
    const versions = [
      Number(parameters.get("operator") ?? 0),
      Number(parameters.get("targets") ?? 0),
    ] as const;
    // Entries of an older build send no revision.
    const delta = options.state.latestRows.changesSince(
      versions,
      Number(parameters.get("revision") ?? Infinity),
    );
    writeJson(response, 200, JSON.stringify(delta));
  });
  await listen(server, address, options);
  return server;
}
