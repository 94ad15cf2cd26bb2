/**
 * The HTTP server for callers. It checks requests against the configuration
 * and the limits in force, hands them to the runner, and closes connections
 * gracefully when the process stops: the last answer that a connection owes
 * says so, and idle connections are closed.
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
import { CallerSink, writeOwn } from "./answer_caller.ts";
import type { CallerDialect } from "./caller_dialect.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { GatewayState } from "./gateway_state.ts";
import {
  fingerprintOf,
  headerBytes,
  readBody,
  readHead,
} from "./read_request.ts";
import type { RequestRunner } from "./request_runner.ts";
import { catchUp, StallWatch } from "./stall_watch.ts";

/** Options of {@link GatewayServer}. */
export interface GatewayServerOptions {
  state: GatewayState;
  runner: RequestRunner;
  dialect: CallerDialect;
  log: EventLog;
}

/** Header bytes that the parser takes at most; the configured limit is below. */
const parserHeaderBytes = 131_072;
/** When a caller is asked back where no configuration is known. */
const noConfigRetryMillis = 500;
/** A request that crashed several targets may come back when the watch forgets it. */
const heldBackRetryMillis = 10_000;
/** Limits until a configuration is known. */
const limitsBeforeConfig: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 1_048_576,
  headerTimeoutMillis: 5000,
  idleTimeoutMillis: 15_000,
};

/** Serves callers. */
export class GatewayServer {
  readonly #options: GatewayServerOptions;
  readonly #server: Server;
  /** Requests without a complete answer, by connection. */
  readonly #pending = new Map<Socket, Set<ServerResponse>>();
  readonly #stalls = new StallWatch();
  #stopping = false;

  constructor(options: GatewayServerOptions) {
    this.#options = options;
    this.#server = createServer({
      maxHeaderSize: parserHeaderBytes,
      requestTimeout: 0,
      connectionsCheckingInterval: 500,
      noDelay: true,
      keepAliveTimeout: limitsBeforeConfig.idleTimeoutMillis,
      headersTimeout: limitsBeforeConfig.headerTimeoutMillis,
    }, (request, response) => this.#handle(request, response));
    this.#server.on("connection", (socket: Socket) => {
      this.#pending.set(socket, new Set());
      socket.once("close", () => this.#pending.delete(socket));
    });
    this.#server.on(
      "clientError",
      (error, socket) => this.#refuseBroken(error, socket as Socket),
    );
  }

  listen(address: string): Promise<void> {
    const [host, port] = address.split(":");
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ host, port: Number(port), backlog: 1024 }, resolve);
    });
  }

  /** Takes over the limits of the configuration in force. */
  applyLimits(limits: CallerLimits): void {
    this.#server.headersTimeout = limits.headerTimeoutMillis;
    this.#server.keepAliveTimeout = limits.idleTimeoutMillis;
  }

  /** From now on each connection is closed with its last answer. */
  beginStop(): void {
    this.#stopping = true;
    for (const [socket, pending] of this.#pending) {
      if (pending.size === 0) socket.end();
      else markLast(pending);
    }
  }

  /** Takes no more connections. */
  closeListener(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  get openAnswers(): number {
    let open = 0;
    for (const pending of this.#pending.values()) open += pending.size;
    return open;
  }

  close(): void {
    this.#stalls.stop();
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #limits(): CallerLimits {
    return this.#options.state.config?.limits ?? limitsBeforeConfig;
  }

  #track(request: IncomingMessage, response: ServerResponse): void {
    const pending = this.#pending.get(request.socket);
    if (pending === undefined) return;
    pending.add(response);
    if (this.#stopping) markLast(pending);
    response.once("close", () => pending.delete(response));
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    // A connection that was told to close takes no further request.
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
      return writeOwn(response, 503, {
        text: "no configuration yet\n",
        retryAfterMillis: noConfigRetryMillis,
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
      writeOwn(response, 500, { text: "internal\n" });
    });
  }

  async #accept(
    request: IncomingMessage,
    response: ServerResponse,
    route: NonNullable<ReturnType<GatewayState["matchRoute"]>>,
  ): Promise<void> {
    const { state, runner, dialect, log } = this.#options;
    const arrivedAtMillis = performance.now();
    const head = readHead(request, route, dialect);
    const read = await readBody(request, this.#limits());
    if (read.kind === "too-large") {
      response.shouldKeepAlive = false;
      return this.#reject(request, response, {
        status: 413,
        reason: "body too large",
      });
    }
    if (this.#stalls.stalledLately()) await catchUp();
    if (read.kind === "broken" || hasLeft(request, response)) {
      return log.info("request", { request: head.id, outcome: "left-unread" });
    }
    const service = state.pickService(route);
    if (service === undefined) {
      return this.#reject(request, response, {
        status: 503,
        reason: "no service",
      });
    }
    const fingerprint = fingerprintOf(request, read.body);
    if (state.crashes.isHeldBack(fingerprint, arrivedAtMillis)) {
      log.warn("held_back", { request: head.id, fingerprint });
      return writeOwn(response, 503, {
        text: "held back\n",
        retryAfterMillis: heldBackRetryMillis,
      });
    }
    const work: GatewayRequest = {
      id: head.id,
      route,
      service,
      object: head.object,
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: head.headers,
      body: read.body,
      arrivedAtMillis,
      objectiveAtMillis: arrivedAtMillis + route.objectiveMillis,
      priority: route.priority,
      expiresAtMillis: arrivedAtMillis +
        Math.min(head.deadlineMillis, route.timeoutMillis),
      fingerprint,
      sink: new CallerSink(response, () => closeWithLast(response)),
      triedTargets: new Set(),
      possibleRuns: 0,
      sends: 0,
      done: false,
      abort: undefined,
      expiryTimer: undefined,
    };
    response.once("close", () => {
      if (!response.writableFinished) runner.cancel(work);
    });
    runner.run(work);

    /** Earlier answers of a closing connection must not announce its close. */
    function closeWithLast(last: ServerResponse): void {
      if (stopMarks.has(last)) last.setHeader("connection", "close");
    }
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
    writeOwn(response, options.status, { text: `${options.reason}\n` });
  }

  /** Answers requests that the parser refused. */
  #refuseBroken(error: NodeJS.ErrnoException, socket: Socket): void {
    const busy = (this.#pending.get(socket)?.size ?? 0) > 0;
    if (!socket.writable || busy || error.code === "ECONNRESET") {
      socket.destroy();
      return;
    }
    const status = brokenStatus(error.code);
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

/** True where the caller closed its connection. */
function hasLeft(request: IncomingMessage, response: ServerResponse): boolean {
  return response.destroyed || request.socket.destroyed ||
    request.socket.readableEnded;
}

/** Answers that end their connection. */
const stopMarks = new WeakSet<ServerResponse>();

/** Only the last answer that a connection owes may close it. */
function markLast(pending: ReadonlySet<ServerResponse>): void {
  let last: ServerResponse | undefined;
  for (const response of pending) {
    stopMarks.delete(response);
    last = response;
  }
  if (last) stopMarks.add(last);
}

function brokenStatus(code: string | undefined): number {
  switch (code) {
    case "HPE_HEADER_OVERFLOW":
      return 431;
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return 408;
    default:
      return 400;
  }
}
