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
import {
  CallerSink,
  formatRetryAfter,
  writeLocalAnswer,
} from "./answer_caller.ts";
import type { CallerConnection, Lack } from "./caller_connection.ts";
import { CallerConnections, type ShedCause } from "./caller_connections.ts";
import type { CallerDialect } from "./caller_dialect.ts";
import type { DescriptorBudget } from "./descriptor_budget.ts";
import {
  FORWARDED_HEADER,
  type ForwardedState,
  parseForwarded,
  RESULT_HEADER,
  resultHeaders,
} from "./forwarding_headers.ts";
import type { GatewayRequest, LocalAnswer } from "./gateway_request.ts";
import type { GatewayState } from "./gateway_state.ts";
import type { InputPacer } from "./input_pacer.ts";
import { listen } from "./listen.ts";
import type { MemoryBudget, MemoryShare } from "./memory_budget.ts";
import { ANSWERED_REQUEST_COST, requestCost } from "./memory_costs.ts";
import {
  findHostFault,
  fingerprintOf,
  headerBytes,
  readBody,
  readHead,
} from "./read_request.ts";
import { type RequestRunner, STOPPING_RETRY_MILLIS } from "./request_runner.ts";
import { catchUp, type StallMonitor } from "./stall_monitor.ts";

/** How far a graceful stop has come. */
type StopPhase = "running" | "stopping" | "closed" | "ended";

/** Options of {@link GatewayServer}. */
export interface GatewayServerOptions {
  state: GatewayState;
  runner: RequestRunner;
  stallMonitor: StallMonitor;
  dialect: CallerDialect;
  log: EventLog;
  /** Shared by all servers of the process. */
  memory: MemoryBudget;
  /** Shared by all servers of the process. */
  descriptors: DescriptorBudget;
  /** Shared by all servers of the process. */
  pacer: InputPacer;
  /** Serves other entries that forward requests. */
  servesEntries?: boolean;
}

/** Maximum header size of the HTTP parser until a configuration is known. */
const MAX_PARSER_HEADER_BYTES = 131_072;
/** Characters that the HTTP parser counts of a head of the maximum size, at most. */
const PARSER_HEADER_FACTOR = 1.25;
/** Retry delay of callers while no configuration is known. */
const NO_CONFIG_RETRY_MILLIS = 500;
/**
 * Retry delay of a request that is held back because it crashed targets; it is
 * admitted again once these crashes expire.
 */
const HELD_BACK_RETRY_MILLIS = 10_000;
/** Retry delay of a request for which there is no memory or no descriptor. */
const LACK_RETRY_MILLIS = 1000;
/**
 * Share of the memory that may be taken for a request behind others on its connection,
 * so that a few callers that pipeline leave memory for all others.
 */
const PIPELINED_SHARE = 0.4;
/** Head above which a request leaves memory for those with ordinary heads. */
const LARGE_HEAD_BYTES = 4096;
/** Share of the memory that may be taken for a request with a large head. */
const LARGE_HEADS_SHARE = 0.85;
/** Statuses of requests that were not received whole. */
const SHED_STATUS = {
  "caller-timeout": 408,
  "no-memory": 503,
  "no-descriptor": 503,
  "no-time": 503,
  "header too large": 431,
} as const satisfies Record<ShedCause, number>;
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
  readonly #connections: CallerConnections;
  readonly #pacer: InputPacer;
  #acceptedCount = 0;
  #phase: StopPhase = "running";

  constructor(options: GatewayServerOptions) {
    this.#options = options;
    this.#pacer = options.pacer;
    this.#pacer.addServer(this);
    this.#connections = new CallerConnections({
      ...options,
      maxHeadBytes: () => this.#limits().headerBytes,
      idleTimeoutMillis: () => this.#limits().idleTimeoutMillis,
      onShed: (socket, cause) => this.#rejectIncomplete(socket, cause),
      hasPausedWithin: (millis) => this.#pacer.hasPausedWithin(millis),
    });
    this.#server = createServer({
      maxHeaderSize: MAX_PARSER_HEADER_BYTES,
      // Node.js would answer such requests itself, and keep them uncounted until then.
      requireHostHeader: false,
      requestTimeout: 0,
      connectionsCheckingInterval: 500,
      noDelay: true,
      keepAliveTimeout: DEFAULT_LIMITS.idleTimeoutMillis,
      headersTimeout: DEFAULT_LIMITS.headerTimeoutMillis,
    }, (request, response) => this.#handleSafely(request, response));
    this.#server.on("connection", (socket: Socket) => {
      const connection = this.#connections.add(socket);
      this.#acceptedCount++;
      this.#pacer.recordAccepted(connection);
      connection?.onRead(() => this.#connections.admitRead(socket, connection));
      if (this.#phase !== "running" || connection?.lack !== undefined) {
        connection?.announceClose();
      }
    });
    this.#server.on("timeout", (socket: Socket) => {
      // What a caller sent in a pause is not read yet.
      const isPaused = this.#connections.get(socket)?.isPaused ?? false;
      if (isPaused) socket.setTimeout(this.#server.keepAliveTimeout);
      else socket.destroy();
    });
    this.#server.on(
      "checkExpectation",
      (request, response) => this.#handleSafely(request, response),
    );
    // Node.js would cut off the answers before it.
    this.#server.on("connect", (_request: IncomingMessage, socket: Socket) => {
      this.#rejectMalformed(new Error("CONNECT"), socket);
      this.#connections.get(socket)?.discardInput();
    });
    this.#server.on(
      "clientError",
      (error, socket) => this.#rejectMalformed(error, socket as Socket),
    );
  }

  listen(address: string): Promise<void> {
    return listen(this.#server, address, this.#options);
  }

  /** Applies the limits of the configuration in force. */
  applyLimits(limits: CallerLimits): void {
    const maxHeaderSize = limits.headerBytes * PARSER_HEADER_FACTOR;
    // Node.js reads it for each new connection.
    Object.assign(this.#server, { maxHeaderSize });
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

  /** Returns a function that closes the listener, and logs what it accepted until then. */
  prepareClose(): () => void {
    const acceptedBefore = this.#acceptedCount;
    return () => {
      // Node.js would reset connections whose next request is not read yet.
      this.#server.closeIdleConnections = () => {};
      this.#server.close();
      this.#options.log.info("listener_closed", {
        accepted: this.#acceptedCount - acceptedBefore,
        connections: this.#connections.size,
      });
    };
  }

  /**
   * Closes idle connections, and refuses requests that are still on their way.
   *
   * @param unread connections that were not read, for lack of time
   */
  closeIdle(unread: ReadonlySet<CallerConnection>): void {
    this.#phase = "closed";
    const nowMillis = performance.now();
    for (const [socket, connection] of this.#connections.entries()) {
      if (connection.pending.size > 0 || socket.writableEnded) continue;
      if (unread.has(connection)) this.#rejectUnread(socket);
      else if (!connection.isBusy(nowMillis)) this.#endIdle(socket, connection);
    }
  }

  /** The open connections. */
  connections(): Iterable<CallerConnection> {
    return this.#connections.values();
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

  /** Refuses from now on all requests that the runner was not given. */
  refuseWaiting(): void {
    this.#phase = "ended";
    for (const [socket, connection] of this.#connections.entries()) {
      if (connection.incomplete === undefined) continue;
      this.#rejectIncomplete(socket, "no-time");
    }
  }

  /** Closes all connections once what was written is sent. */
  endConnections(): void {
    for (const [socket, connection] of this.#connections.entries()) {
      if (connection.pending.size > 0 || socket.writableEnded) connection.end();
      else if (connection.isPaused) this.#rejectUnread(socket);
      else this.#endIdle(socket, connection);
    }
  }

  /** Closes a connection without open answers, and refuses a head that is not complete. */
  #endIdle(socket: Socket, connection: CallerConnection): void {
    if (connection.hasPartialHead) this.#rejectUnread(socket);
    else connection.end();
  }

  /** Closes all connections at once, without waiting for incomplete answers. */
  close(): void {
    this.#connections.stop();
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
      dropHead(request);
      return;
    }
    this.#pacer.recordRead(connection);
    if (this.#phase === "closed" || this.#phase === "ended") {
      return this.#refuseStopping(request, response);
    }
    const { state, log, memory: budget } = this.#options;
    const memory = budget.open();
    connection.onSettled(response, () => memory.close());
    const lack = connection.lack ?? this.#findDescriptorLack() ??
      (memory.reserve(ANSWERED_REQUEST_COST) ? undefined : "no-memory");
    if (lack !== undefined) {
      return this.#refuseForLack(request, response, { connection, lack });
    }
    const headBytes = headerBytes(request);
    if (headBytes > this.#limits().headerBytes) {
      return this.#reject(request, response, {
        status: 431,
        reason: "header too large",
      });
    }
    const share = shareOf(headBytes, connection);
    if (!memory.reserve(requestCost(request, headBytes), share)) {
      return this.#refuseForLack(request, response, {
        connection,
        lack: "no-memory",
      });
    }
    const hostFault = findHostFault(request);
    if (hostFault !== undefined) {
      return this.#reject(request, response, {
        status: 400,
        reason: hostFault,
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
    this.#accept(request, response, { route, connection, memory }).catch(
      (error: Error) => this.#fail(request, response, error),
    );
  }

  async #accept(
    request: IncomingMessage,
    response: ServerResponse,
    { route, connection, memory }: {
      route: SteeringRoute;
      connection: CallerConnection;
      memory: MemoryShare;
    },
  ): Promise<void> {
    const { state, runner, stallMonitor, dialect, log } = this.#options;
    const forwarded = this.#forwardedState(request);
    const arrivedAtMillis = performance.now() - forwarded.elapsedMillis;
    const head = readHead(request, route, dialect);
    const bodyResult = await readBody(request, {
      limits: this.#limits(),
      memory,
      onPiece: () => this.#recordPiece(connection),
    });
    // It was refused while its body was read.
    if (response.writableEnded) return;
    if (bodyResult.kind === "no-memory") {
      return this.#refuseForLack(request, response, {
        connection,
        lack: "no-memory",
      });
    }
    if (bodyResult.kind === "too-large") {
      connection.closeAfterPending();
      connection.discardInput();
      return this.#reject(request, response, {
        status: 413,
        reason: "body too large",
      });
    }
    await connection.takeTurn(response);
    if (this.#phase === "ended") {
      return this.#refuseStopping(request, response);
    }
    // The caller may have disconnected without it being read yet: requests of new
    // connections wait while the process is short of time, and longer in a stall.
    if (stallMonitor.stalledRecently()) await catchUp();
    await this.#pacer.untilPolled(connection);
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
      memory,
      isForwarded: this.#servesEntries,
      triedTargets: new Set(),
      triedEntries: new Set(),
      possibleRuns: 0,
      sends: forwarded.sends,
      arrivals: forwarded.sends,
      readCaller: () => this.#pacer.readIfUnread(connection),
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

  #findDescriptorLack(): Lack | undefined {
    const { descriptors, runner } = this.#options;
    const { inFlight } = runner;
    if (descriptors.hasAmpleRoom(inFlight)) return undefined;
    runner.closeIdleConnections();
    return descriptors.hasRoomForRequest(inFlight)
      ? undefined
      : "no-descriptor";
  }

  /**
   * Refuses a request for which there is no memory or no descriptor, and closes the
   * connection after it: what else was sent there would be held as well.
   */
  #refuseForLack(
    request: IncomingMessage,
    response: ServerResponse,
    { connection, lack }: { connection: CallerConnection; lack: Lack },
  ): void {
    this.#options.memory.refusalCount++;
    const { headers } = request;
    this.#options.log.warn("request", {
      request: String(headers[this.#options.dialect.requestIdHeader] ?? ""),
      outcome: "refused",
      reason: lack,
      bodyBytes: Number(headers["content-length"] ?? 0),
    });
    connection.closeAfterPending();
    connection.discardInput();
    this.#writeOwnAnswer(request, response, {
      status: 503,
      text: `${lack}\n`,
      retryAfterMillis: LACK_RETRY_MILLIS,
    });
  }

  #refuseStopping(request: IncomingMessage, response: ServerResponse): void {
    this.#writeOwnAnswer(request, response, {
      status: 503,
      text: "stopping\n",
      retryAfterMillis: STOPPING_RETRY_MILLIS,
    });
  }

  /** Answers the request that a caller has not completed, and closes the connection. */
  #rejectIncomplete(socket: Socket, cause: ShedCause): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined || socket.writableEnded) return;
    const { incomplete } = connection;
    if (incomplete !== undefined && isLack(cause)) {
      const { request, response } = incomplete;
      return this.#refuseForLack(request, response, {
        connection,
        lack: cause,
      });
    }
    const status = SHED_STATUS[cause];
    if (incomplete !== undefined) {
      connection.closeAfterPending();
      connection.discardInput();
      return this.#reject(incomplete.request, incomplete.response, {
        status,
        reason: cause,
      });
    }
    if (connection.pending.size > 0) {
      connection.closeAfterPending();
      return connection.discardInput();
    }
    // Nothing waits for an answer.
    if (!connection.hasPartialHead && cause !== "no-time") {
      return connection.end();
    }
    if (cause === "no-memory") this.#options.memory.refusalCount++;
    this.#rejectHead(socket, { status, reason: cause });
  }

  /** Refuses the request that may have been sent on a connection that was not read whole. */
  #rejectUnread(socket: Socket): void {
    this.#rejectHead(socket, { status: 503, reason: "stopping" });
  }

  /** Answers a request whose head was not read, and closes the connection. */
  #rejectHead(
    socket: Socket,
    rejection: { status: number; reason: string | undefined },
  ): void {
    const { reason } = rejection;
    // Another entry may send the request elsewhere.
    const status = this.#servesEntries ? 503 : rejection.status;
    this.#options.log.info("request", { outcome: "rejected", status, reason });
    const result = this.#servesEntries ? `${RESULT_HEADER}: refused\r\n` : "";
    const retryAfter = status === 503
      ? `Retry-After: ${formatRetryAfter(LACK_RETRY_MILLIS)}\r\n`
      : "";
    socket.write(
      `HTTP/1.1 ${status} Rejected\r\nContent-Length: 0\r\n${retryAfter}${result}` +
        "Connection: close\r\n\r\n",
    );
    this.#connections.get(socket)?.end();
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
    if (!request.complete) this.#dropBody(request);
    dropHead(request);
  }

  /** Reads the rest of a body without keeping it. */
  #dropBody(request: IncomingMessage): void {
    const connection = this.#connections.get(request.socket);
    request.removeAllListeners("data");
    request.on("data", () => this.#recordPiece(connection));
  }

  #recordPiece(connection: CallerConnection | undefined): void {
    if (connection === undefined) return;
    connection.recordPiece();
    this.#pacer.recordRead(connection);
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
    const { headerTimeoutMillis } = this.#limits();
    if (
      error.code === "ERR_HTTP_REQUEST_TIMEOUT" &&
      this.#pacer.hasPausedWithin(headerTimeoutMillis)
    ) return this.#rejectIncomplete(socket, "no-time");
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
    this.#rejectHead(socket, { status, reason: error.code });
  }
}

function isLack(cause: ShedCause): cause is Lack {
  return SHED_STATUS[cause] === 503;
}

/** Share of the memory that may be taken for a request. */
function shareOf(headBytes: number, connection: CallerConnection): number {
  if (connection.pending.size > 1) return PIPELINED_SHARE;
  return headBytes > LARGE_HEAD_BYTES ? LARGE_HEADS_SHARE : 1;
}

/** True if the caller closed its connection, or its sending side of it. */
function hasDisconnected(
  request: IncomingMessage,
  response: ServerResponse,
): boolean {
  return response.destroyed || request.socket.destroyed ||
    request.socket.readableEnded;
}

/** Releases the fields of a request that is answered but may wait to be sent. */
function dropHead(request: IncomingMessage): void {
  request.rawHeaders = [];
  request.headers = {};
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
