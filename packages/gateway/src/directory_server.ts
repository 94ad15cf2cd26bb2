/**
 * HTTP servers besides the one for callers: the directory of entries, the
 * readiness check, the state for the other entries, and the metrics.
 */
import type { Server, ServerResponse } from "node:http";
import { selectEntries } from "@bamboolane/steering/select_entries";
import type { EntryRecord } from "@bamboolane/steering/steering_config";
import {
  type AnswerRequest,
  type BoundedServerOptions,
  createBoundedServer,
} from "./bounded_server.ts";
import type { CallerDialect } from "./caller_dialect.ts";
import type { GatewayState } from "./gateway_state.ts";
import { listen } from "./listen.ts";
import { StateAnswers } from "./state_answers.ts";

/** Path at which other entries read this one's state. */
export const STATE_PATH = "/v1/state";

/** Callers look up entries every few seconds, for a moment each time. */
const MAX_DIRECTORY_CONNECTIONS = 512;
const MAX_READINESS_CONNECTIONS = 64;
/** After an outage of the store, all entries of the fleet may fetch at the same time. */
const MAX_STATE_CONNECTIONS = 640;
const MAX_METRICS_CONNECTIONS = 8;
/** An answer may have a line for each label set, so that few may be open. */
const MAX_METRICS_ANSWERS = 2;

/** Options of all servers. */
export type SharedOptions = Pick<BoundedServerOptions, "log" | "pacer">;

/** Options of {@link serveDirectory}. */
export interface DirectoryOptions extends SharedOptions {
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
  body: string | Buffer,
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
  const { dialect, log, pacer } = options;
  const server = createBoundedServer({
    name: "directory",
    maxConnections: MAX_DIRECTORY_CONNECTIONS,
    log,
    pacer,
  }, (request, response) => {
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
  options: SharedOptions & Pick<DirectoryOptions, "dialect" | "isReady">,
): Promise<Server> {
  const server = createBoundedServer({
    name: "readiness",
    maxConnections: MAX_READINESS_CONNECTIONS,
    log: options.log,
    pacer: options.pacer,
  }, (request, response) => {
    const known = request.url === options.dialect.readinessPath;
    const status = !known ? 404 : options.isReady() ? 200 : 503;
    writeJson(response, status, "{}");
  });
  await listen(server, address, options);
  return server;
}

/** Creates the server of the metrics, which `answer` writes. */
export function createMetricsServer(
  options: SharedOptions,
  answer: AnswerRequest,
): Server {
  return createBoundedServer({
    ...options,
    name: "metrics",
    maxConnections: MAX_METRICS_CONNECTIONS,
    maxOpenAnswers: MAX_METRICS_ANSWERS,
  }, answer);
}

/** Starts the server from which other entries read this one's state. */
export async function serveState(
  address: string,
  options: SharedOptions & Pick<DirectoryOptions, "state">,
): Promise<Server> {
  const answers = new StateAnswers(options.state.latestRows);
  const server = createBoundedServer({
    name: "state",
    maxConnections: MAX_STATE_CONNECTIONS,
    log: options.log,
    pacer: options.pacer,
  }, (request, response) => {
    const [path, query] = (request.url ?? "/").split("?", 2);
    if (path !== STATE_PATH) return writeJson(response, 404, "{}");
    const parameters = new URLSearchParams(query);
    const versions = [
      Number(parameters.get("operator") ?? 0),
      Number(parameters.get("targets") ?? 0),
    ] as const;
    // Entries of an older build send no revision.
    const answer = answers.take(
      versions,
      Number(parameters.get("revision") ?? Infinity),
    );
    if (answer === undefined) return writeJson(response, 503, "{}");
    writeJson(response, 200, answer.body);
    return answer.release;
  });
  await listen(server, address, options);
  return server;
}
