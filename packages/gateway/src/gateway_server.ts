/**
 * The HTTP server for callers, or for other entries that forward requests. It checks
 * requests against the configuration and the limits in force, passes them to the
 * runner, and closes connections gracefully when the process stops: callers may go on
 * using open connections, and the last pending answer of each one announces its
 * close. Connections that stay idle are closed together with the listener.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { EventLog } from "@bamboolane/logger/create_logger";
import type { CallerLimits } from "@bamboolane/steering/steering_config";
import { CallerSink, writeLocalAnswer } from "./answer_caller.ts";
import type { CallerDialect } from "./caller_dialect.ts";
import {
  FORWARDED_HEADER,
  type ForwardedState,
  parseForwarded,
  resultHeaders,
} from "./forwarding_headers.ts";
import type { GatewayRequest, LocalAnswer } from "./gateway_request.ts";
import type { GatewayState } from "./gateway_state.ts";
import {
  fingerprintOf,
  headerBytes,
  readBody,
  readHead,
} from "./read_request.ts";
import type { RequestRunner } from "./request_runner.ts";
import { CallerConnection } from "./caller_connection.ts";
import { catchUp, pollSockets, type StallMonitor } from "./stall_monitor.ts";

/** Options of {@link GatewayServer}. */
export interface GatewayServerOptions {
  state: GatewayState;
  runner: RequestRunner;
  stallMonitor: StallMonitor;
  dialect: CallerDialect;
  log: EventLog;
  /** Serves other entries that forward requests. */
  servesEntries?: boolean;
}

/** Maximum header size of the HTTP parser; the configured limit is lower. */
const MAX_PARSER_HEADER_BYTES = 131_072;
/** Retry delay of callers while no configuration is known. */
const NO_CONFIG_RETRY_MILLIS = 500;
/**
 * Retry delay of a request that is held back because it crashed targets; it is
 * admitted again once these crashes expire.
 */
const HELD_BACK_RETRY_MILLIS = 10_000;
/** Limits until a configuration is known. */
const DEFAULT_LIMITS: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 1_048_576,
  headerTimeoutMillis: 5000,
  idleTimeoutMillis: 15_000,
};

/** Serves callers or other entries. */
export class GatewayServer {
  readonly #options: GatewayServerOptions;
  readonly #server: Server;
  readonly #connections = new Map<Socket, CallerConnection>();
  #stopping = false;

  constructor(options: GatewayServerOptions) {
    this.#options = options;
    this.#server = createServer({
      maxHeaderSize: MAX_PARSER_HEADER_BYTES,
      requestTimeout: 0,
      connectionsCheckingInterval: 500,
      noDelay: true,
      keepAliveTimeout: DEFAULT_LIMITS.idleTimeoutMillis,
      headersTimeout: DEFAULT_LIMITS.headerTimeoutMillis,
    }, (request, response) => this.#handle(request, response));
    this.#server.on("connection", (socket: Socket) => {
      this.#connections.set(socket, new CallerConnection(socket));
      socket.once("close", () => this.#connections.delete(socket));
    });
    this.#server.on(
      "clientError",
      (error, socket) => this.#rejectMalformed(error, socket as Socket),
    );
  }

  listen(address: string): Promise<void> {
    const [host, port] = address.split(":");
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ host, port: Number(port), backlog: 1024 }, resolve);
    });
  }

  /** Applies the limits of the configuration in force. */
  applyLimits(limits: CallerLimits): void {
    this.#server.headersTimeout = limits.headerTimeoutMillis;
    this.#server.keepAliveTimeout = limits.idleTimeoutMillis;
  }

  /** Starts a graceful stop: from now on the last pending answer of each connection closes it. */
  beginStop(): void {
    this.#stopping = true;
    for (const { pending } of this.#connections.values()) {
      markLastAnswer(pending);
    }
  }

  /** Stops accepting connections and closes idle ones. */
  async closeListener(): Promise<void> {
    // Accepts what is waiting: the system resets those connections otherwise.
    await new Promise((resolve) => setImmediate(resolve));
    const nowMillis = performance.now();
    for (const [socket, connection] of this.#connections) {
      if (!connection.isBusy(nowMillis)) socket.end();
    }
    this.#server.close();
  }

  /** Number of incomplete answers. */
  get openAnswers(): number {
    let open = 0;
    for (const { pending } of this.#connections.values()) open += pending.size;
    return open;
  }

  /** Number of connections with incomplete answers, or whose next request may be on its way. */
  get busyConnections(): number {
    const nowMillis = performance.now();
    return [...this.#connections.values()]
      .filter((connection) => connection.isBusy(nowMillis)).length;
  }

  /** Closes all connections at once, without waiting for incomplete answers. */
  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #limits(): CallerLimits {
    return this.#options.state.config?.limits ?? DEFAULT_LIMITS;
  }

  #track(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.#connections.get(request.socket);
    if (connection === undefined) return;
    connection.track(request, response);
    if (this.#stopping) markLastAnswer(connection.pending);
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    // A connection that is being closed accepts no further request.
    if (request.socket.destroyed || request.socket.writableEnded) return;
    this.#track(request, response);
    const { state, log } = this.#options;
    const limits = this.#limits();
    if (headerBytes(request) > limits.headerBytes) {
      return this.#reject(request, response, {
        status: 431,
        reason: "header too large",
      });
    }
    if (!state.isComplete) {
      log.info("request", { outcome: "refused", reason: "no-configuration" });
      return this.#writeOwnAnswer(request, response, {
        status: 503,
        text: "no configuration yet\n",
        retryAfterMillis: NO_CONFIG_RETRY_MILLIS,
      });
    }
    const url = request.url ?? "/";
    const path = url.split("?", 1)[0];
    const route = state.matchRoute(request.headers.host ?? "", path);
    if (route === undefined) {
      return this.#reject(request, response, {
        status: 404,
        reason: "no route",
      });
    }
    this.#accept(request, response, route).catch((error: Error) => {
      log.error("accept_failed", { error: error.message });
      this.#writeOwnAnswer(request, response, {
        status: 500,
        text: "internal\n",
      });
    });
  }

  async #accept(
    request: IncomingMessage,
    response: ServerResponse,
    route: NonNullable<ReturnType<GatewayState["matchRoute"]>>,
  ): Promise<void> {
    const { state, runner, stallMonitor, dialect, log } = this.#options;
    const forwarded = this.#forwardedState(request);
    const arrivedAtMillis = performance.now() - forwarded.elapsedMillis;
    const head = readHead(request, route, dialect);
    const bodyResult = await readBody(request, this.#limits());
    if (bodyResult.kind === "too-large") {
      response.shouldKeepAlive = false;
      return this.#reject(request, response, {
        status: 413,
        reason: "body too large",
      });
    }
    // The caller may have disconnected without it being read yet: requests of new
    // connections wait while the process is short of time, and longer in a stall.
    if (stallMonitor.stalledRecently()) await catchUp();
    else await pollSockets();
    if (bodyResult.kind === "broken" || hasDisconnected(request, response)) {
      return log.info("request", { request: head.id, outcome: "left-unread" });
    }
    const service = state.pickService(route);
    if (service === undefined) {
      return this.#reject(request, response, {
        status: 503,
        reason: "no service",
      });
    }
    const fingerprint = fingerprintOf(request, bodyResult.body);
    if (state.crashes.isHeldBack(fingerprint, arrivedAtMillis)) {
      log.warn("held_back", { request: head.id, fingerprint });
      return this.#writeOwnAnswer(request, response, {
        status: 503,
        text: "held back\n",
        retryAfterMillis: HELD_BACK_RETRY_MILLIS,
      });
    }
    const gatewayRequest: GatewayRequest = {
      id: head.id,
      route,
      service,
      object: head.object,
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: head.headers,
      body: bodyResult.body,
      arrivedAtMillis,
      objectiveAtMillis: arrivedAtMillis + route.objectiveMillis,
      priority: route.priority,
      expiresAtMillis: Math.min(
        arrivedAtMillis + forwarded.elapsedMillis + head.deadlineMillis,
        arrivedAtMillis + route.timeoutMillis,
      ),
      fingerprint,
      sink: new CallerSink(response, {
        beforeHead: () => announceClose(response),
        ownHeaders: (kind) => this.#ownHeaders(request, kind),
      }),
      isForwarded: this.#servesEntries,
      triedTargets: new Set(),
      triedEntries: new Set(),
      possibleRuns: 0,
      sends: forwarded.sends,
      arrivals: forwarded.sends,
      done: false,
      abort: undefined,
      expiryTimer: undefined,
    };
    response.once("close", () => {
      if (!response.writableFinished) runner.cancel(gatewayRequest);
    });
    runner.run(gatewayRequest);
  }

  #reject(
    request: IncomingMessage,
    response: ServerResponse,
    options: { status: number; reason: string },
  ): void {
    this.#options.log.info("request", {
      request: String(
        request.headers[this.#options.dialect.requestIdHeader] ?? "",
      ),
      outcome: "rejected",
      status: options.status,
      reason: options.reason,
      revision: this.#options.state.config?.revision,
    });
    this.#writeOwnAnswer(request, response, {
      // The other entry may know a route that this one doesn't know yet.
      status: this.#servesEntries ? 503 : options.status,
      text: `${options.reason}\n`,
    });
  }

  get #servesEntries(): boolean {
    return this.#options.servesEntries ?? false;
  }

  /** State of a request that another entry forwarded; of a caller's, none. */
  #forwardedState(request: IncomingMessage): ForwardedState {
    const header = request.headers[FORWARDED_HEADER];
    const state = this.#servesEntries
      ? parseForwarded(String(header))
      : undefined;
    return state ?? { sends: 0, elapsedMillis: 0 };
  }

  /** Headers that tell another entry that the answer is this one's own. */
  #ownHeaders(
    request: IncomingMessage,
    kind: LocalAnswer["kind"],
  ): Record<string, string> {
    if (!this.#servesEntries) return {};
    const { requestIdHeader } = this.#options.dialect;
    return resultHeaders(kind, {
      idHeader: requestIdHeader,
      id: String(request.headers[requestIdHeader] ?? ""),
    });
  }

  /** Answers without a target. */
  #writeOwnAnswer(
    request: IncomingMessage,
    response: ServerResponse,
    answer: { status: number; text: string; retryAfterMillis?: number },
  ): void {
    if (!response.headersSent) announceClose(response);
    writeLocalAnswer(response, answer.status, {
      ...answer,
      headers: this.#ownHeaders(
        request,
        answer.status === 503 ? "refused" : "failed",
      ),
    });
  }

  /**
   * Answers a request that the parser rejected. A connection with incomplete
   * answers is closed instead: the rejection would be read as one of them.
   */
  #rejectMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
    const busy = (this.#connections.get(socket)?.pending.size ?? 0) > 0;
    if (!socket.writable || busy || error.code === "ECONNRESET") {
      socket.destroy();
      return;
    }
    const status = malformedStatus(error.code);
    this.#options.log.info("request", {
      outcome: "rejected",
      status,
      reason: error.code,
    });
    socket.end(
      `HTTP/1.1 ${status} Rejected\r\nContent-Length: 0\r\n` +
        "Connection: close\r\n\r\n",
    );
  }
}

/** True if the caller closed its connection, or its sending side of it. */
function hasDisconnected(
  request: IncomingMessage,
  response: ServerResponse,
): boolean {
  return response.destroyed || request.socket.destroyed ||
    request.socket.readableEnded;
}

/** Answers that close their connection. */
const closingAnswers = new WeakSet<ServerResponse>();

/** Announces the close of the connection if this is its last answer. */
function announceClose(response: ServerResponse): void {
  if (closingAnswers.has(response)) response.setHeader("connection", "close");
}

/** Marks the last of a connection's pending answers: only that one may close it. */
function markLastAnswer(pending: ReadonlySet<ServerResponse>): void {
  let last: ServerResponse | undefined;
  for (const response of pending) {
    closingAnswers.delete(response);
    last = response;
  }
  if (last) closingAnswers.add(last);
}

function malformedStatus(code: string | undefined): number {
  switch (code) {
    case "HPE_HEADER_OVERFLOW":
      return 431;
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return 408;
    default:
      return 400;
  }
}
