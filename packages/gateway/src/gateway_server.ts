/**
 * The HTTP server for callers, or for other entries that forward requests. It checks
 * requests against the configuration and the limits in force, passes them to the
 * runner, and closes connections gracefully when the process stops: callers may go on
 * using idle connections for one more request, and the last answer that was pending on
 * a busy one announces its close. Connections that stay idle are closed together with
 * the listener; later requests are refused.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { EventLog } from "@bamboolane/logger/create_logger";
import type {
  CallerLimits,
  SteeringRoute,
} from "@bamboolane/steering/steering_config";
import { CallerSink, writeLocalAnswer } from "./answer_caller.ts";
import type { BodyMemory } from "./body_memory.ts";
import type { CallerDialect } from "./caller_dialect.ts";
import {
  FORWARDED_HEADER,
  type ForwardedState,
  parseForwarded,
  resultHeaders,
} from "./forwarding_headers.ts";
import type { GatewayRequest, LocalAnswer } from "./gateway_request.ts";
import type { GatewayState } from "./gateway_state.ts";
import { listen } from "./listen.ts";
import {
  fingerprintOf,
  hasSeveralHosts,
  headerBytes,
  readBody,
  readHead,
} from "./read_request.ts";
import { type RequestRunner, STOPPING_RETRY_MILLIS } from "./request_runner.ts";
import { CallerConnection } from "./caller_connection.ts";
import { catchUp, pollSockets, type StallMonitor } from "./stall_monitor.ts";

/** How far a graceful stop has come. */
type StopPhase = "running" | "stopping" | "closed";

/** Options of {@link GatewayServer}. */
export interface GatewayServerOptions {
  state: GatewayState;
  runner: RequestRunner;
  stallMonitor: StallMonitor;
  dialect: CallerDialect;
  log: EventLog;
  /** Memory for the bodies of requests; shared by all servers of the process. */
  bodyMemory: BodyMemory;
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
/**
 * Maximum time for accepting the connections that wait when the listener closes. New
 * ones may arrive as fast as they are accepted.
 */
const MAX_ACCEPT_MILLIS = 250;
/** Maximum number of connections that wait to be accepted. */
const BACKLOG = 1024;
/** Retry delay of a request for whose body there is no memory; a large body takes long. */
const NO_MEMORY_RETRY_MILLIS = 1000;
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
  #phase: StopPhase = "running";
  #acceptedCount = 0;

  constructor(options: GatewayServerOptions) {
    this.#options = options;
    this.#server = createServer({
      maxHeaderSize: MAX_PARSER_HEADER_BYTES,
      requestTimeout: 0,
      connectionsCheckingInterval: 500,
      noDelay: true,
      keepAliveTimeout: DEFAULT_LIMITS.idleTimeoutMillis,
      headersTimeout: DEFAULT_LIMITS.headerTimeoutMillis,
    }, (request, response) => this.#handleSafely(request, response));
    this.#server.on("connection", (socket: Socket) => {
      this.#acceptedCount++;
      const connection = new CallerConnection(socket);
      this.#connections.set(socket, connection);
      socket.once("close", () => this.#connections.delete(socket));
      if (this.#phase !== "running") connection.announceClose();
    });
    this.#server.on(
      "clientError",
      (error, socket) => this.#rejectMalformed(error, socket as Socket),
    );
  }

  listen(address: string): Promise<void> {
    const { log } = this.#options;
    return listen(this.#server, address, { log, backlog: BACKLOG });
  }

  /** Applies the limits of the configuration in force. */
  applyLimits(limits: CallerLimits): void {
    this.#server.headersTimeout = limits.headerTimeoutMillis;
    this.#server.keepAliveTimeout = limits.idleTimeoutMillis;
  }

  /** Starts a graceful stop: from now on each connection closes after its last answer. */
  beginStop(): void {
    this.#phase = "stopping";
    for (const connection of this.#connections.values()) {
      connection.announceClose();
    }
  }

  /**
   * Stops accepting connections, closes idle ones, and refuses requests that are
   * still on their way.
   */
  async closeListener(): Promise<void> {
    await this.#acceptWaiting();
    this.#server.close();
    this.#phase = "closed";
    const nowMillis = performance.now();
    for (const connection of this.#connections.values()) {
      if (!connection.isBusy(nowMillis)) connection.end();
    }
  }

  /**
   * Accepts the connections that wait in the system, which resets them when the
   * listener closes. Node.js accepts one in each turn of the event loop.
   */
  async #acceptWaiting(): Promise<void> {
    const endMillis = performance.now() + MAX_ACCEPT_MILLIS;
    let acceptedBefore: number;
    do {
      acceptedBefore = this.#acceptedCount;
      await pollSockets();
    } while (
      this.#acceptedCount > acceptedBefore && performance.now() < endMillis
    );
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

  /** Number of connections that are not closed on both sides. */
  get openConnections(): number {
    return this.#connections.size;
  }

  /** Closes all connections once what was written is sent. */
  endConnections(): void {
    for (const connection of this.#connections.values()) connection.end();
  }

  /** Closes all connections at once, without waiting for incomplete answers. */
  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #limits(): CallerLimits {
    return this.#options.state.config?.limits ?? DEFAULT_LIMITS;
  }

  /** Handles a request; an error while doing so fails this request only. */
  #handleSafely(request: IncomingMessage, response: ServerResponse): void {
    try {
      this.#handle(request, response);
    } catch (error) {
      this.#fail(request, response, error as Error);
    }
  }

  #fail(
    request: IncomingMessage,
    response: ServerResponse,
    error: Error,
  ): void {
    this.#options.log.error("accept_failed", {
      request: String(
        request.headers[this.#options.dialect.requestIdHeader] ?? "",
      ),
      error: error.message,
      stack: error.stack,
    });
    this.#writeOwnAnswer(request, response, {
      status: 500,
      text: "internal\n",
    });
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.#connections.get(request.socket);
    // A connection that is being closed accepts no further request.
    if (
      connection === undefined || request.socket.destroyed ||
      request.socket.writableEnded || !connection.track(request, response)
    ) {
      request.resume();
      return;
    }
    if (this.#phase === "closed") {
      return this.#writeOwnAnswer(request, response, {
        status: 503,
        text: "stopping\n",
        retryAfterMillis: STOPPING_RETRY_MILLIS,
      });
    }
    const { state, log } = this.#options;
    const limits = this.#limits();
    if (headerBytes(request) > limits.headerBytes) {
      return this.#reject(request, response, {
        status: 431,
        reason: "header too large",
      });
    }
    if (hasSeveralHosts(request)) {
      return this.#reject(request, response, {
        status: 400,
        reason: "several Host lines",
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
    this.#accept(request, response, { route, connection }).catch(
      (error: Error) => this.#fail(request, response, error),
    );
  }

  async #accept(
    request: IncomingMessage,
    response: ServerResponse,
    { route, connection }: {
      route: SteeringRoute;
      connection: CallerConnection;
    },
  ): Promise<void> {
    const { state, runner, stallMonitor, dialect, log } = this.#options;
    const forwarded = this.#forwardedState(request);
    const arrivedAtMillis = performance.now() - forwarded.elapsedMillis;
    const head = readHead(request, route, dialect);
    const memory = this.#options.bodyMemory.open();
    connection.onSettled(response, () => memory.close());
    const bodyResult = await readBody(request, {
      limits: this.#limits(),
      memory,
    });
    if (bodyResult.kind === "too-large" || bodyResult.kind === "no-memory") {
      return this.#rejectBody(request, response, {
        connection,
        result: bodyResult.kind,
      });
    }
    await connection.takeTurn(response);
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
        beforeHead: () => this.#announceClose(request, response),
        ownHeaders: (kind) => this.#ownHeaders(request, kind),
        // The other entry recognises the answer by its id.
        requiredHeader: this.#servesEntries && head.id !== ""
          ? [dialect.requestIdHeader, head.id]
          : undefined,
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
    connection.onSettled(response, () => {
      memory.close();
      if (!response.writableFinished) runner.cancel(gatewayRequest);
    });
    runner.run(gatewayRequest);
  }

  /** Answers a request whose body is not read to its end, and closes the connection. */
  #rejectBody(
    request: IncomingMessage,
    response: ServerResponse,
    options: {
      connection: CallerConnection;
      result: "too-large" | "no-memory";
    },
  ): void {
    const { connection, result } = options;
    request.removeAllListeners("data");
    request.resume();
    connection.closeAfterPending();
    if (result === "too-large") {
      return this.#reject(request, response, {
        status: 413,
        reason: "body too large",
      });
    }
    this.#options.log.warn("request", {
      request: String(
        request.headers[this.#options.dialect.requestIdHeader] ?? "",
      ),
      outcome: "refused",
      reason: "no-memory",
      bodyBytes: Number(request.headers["content-length"] ?? 0),
    });
    this.#writeOwnAnswer(request, response, {
      status: 503,
      text: "no memory for the body\n",
      retryAfterMillis: NO_MEMORY_RETRY_MILLIS,
    });
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

  /** Announces the close of the connection if this is its last answer. */
  #announceClose(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.#connections.get(request.socket);
    if (connection?.isLastAnswer(response)) {
      response.setHeader("connection", "close");
    }
  }

  /** Answers without a target. */
  #writeOwnAnswer(
    request: IncomingMessage,
    response: ServerResponse,
    answer: { status: number; text: string; retryAfterMillis?: number },
  ): void {
    if (!response.headersSent) this.#announceClose(request, response);
    writeLocalAnswer(response, answer.status, {
      ...answer,
      headers: this.#ownHeaders(
        request,
        answer.status === 503 ? "refused" : "failed",
      ),
    });
  }

  /**
   * Answers a request that the parser rejected. If its head was not read, the
   * connection closes after the answers that are pending instead: the rejection would
   * be read as one of them.
   */
  #rejectMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined || error.code === "ECONNRESET") {
      socket.destroy();
      return;
    }
    if (socket.writableEnded) return;
    const status = malformedStatus(error.code);
    const { incomplete } = connection;
    if (connection.pending.size > 0) connection.closeAfterPending();
    if (incomplete !== undefined) {
      return this.#reject(incomplete.request, incomplete.response, {
        status,
        reason: error.code ?? "malformed body",
      });
    }
    if (connection.pending.size > 0) return;
    this.#options.log.info("request", {
      outcome: "rejected",
      status,
      reason: error.code,
    });
    socket.write(
      `HTTP/1.1 ${status} Rejected\r\nContent-Length: 0\r\n` +
        "Connection: close\r\n\r\n",
    );
    connection.end();
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
