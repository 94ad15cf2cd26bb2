/**
 * HTTP servers for short requests without bodies, such as look-ups. What all their
 * clients together can make the process hold is bounded: by the number of connections,
 * and by what each of them may send and leave unread. Where there are too many, the
 * connection that has been without a new request for the longest time is closed, so
 * that new clients are served. A client may repeat such requests.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { EventLog } from "@bamboolane/logger/create_logger";
import type { InputPacer } from "./input_pacer.ts";

/** Options of {@link createBoundedServer}. */
export interface BoundedServerOptions {
  /** Name of the server in the log. */
  name: string;
  maxConnections: number;
  /** Maximum number of answers that a connection waits for; 16 unless given. */
  maxOpenAnswers?: number;
  log: EventLog;
  /** Shared by all servers of the process; callers pause while its clients wait. */
  pacer?: Pick<InputPacer, "recordBrief">;
}

/** Maximum size of a request's head; Node.js answers 431 beyond it. */
const MAX_HEAD_BYTES = 8192;
/** A connection that waits for more answers is closed, unless the server has its own bound. */
const MAX_OPEN_ANSWERS = 16;
/**
 * Time for a request, and for an answer of which nothing is read; exceeds that for
 * which clients and other entries wait for an answer.
 */
const TIMEOUT_MILLIS = 5000;
const CHECK_INTERVAL_MILLIS = 1000;
/** Minimum time between two log lines of one server. */
const LOG_INTERVAL_MILLIS = 5000;

/**
 * Answers a request. The returned function, if any, is called once the answer is read, or
 * the connection is gone.
 */
export type AnswerRequest = (
  request: IncomingMessage,
  response: ServerResponse,
) => (() => void) | void;

/** Connections of one server, those without a request for the longest time first. */
class BoundedConnections {
  readonly #options: BoundedServerOptions;
  /** What is called once each open answer is over, by connection. */
  readonly #openAnswers = new Map<Socket, Set<() => void>>();
  #closed = 0;
  #loggedAtMillis = -Infinity;

  constructor(options: BoundedServerOptions) {
    this.#options = options;
  }

  add(socket: Socket): void {
    const answers = new Set<() => void>();
    this.#openAnswers.set(socket, answers);
    // Answers that wait for earlier ones of their connection get no event of their own.
    socket.once("close", () => {
      this.#openAnswers.delete(socket);
      for (const end of answers) end();
    });
    if (this.#openAnswers.size <= this.#options.maxConnections) return;
    const [longest] = this.#openAnswers.keys();
    this.#close(longest);
  }

  /** Answers a request, unless its connection was closed. */
  answer(
    request: IncomingMessage,
    response: ServerResponse,
    answer: AnswerRequest,
  ): void {
    const { socket } = request;
    const answers = this.#openAnswers.get(socket);
    if (answers === undefined) return;
    const { maxOpenAnswers = MAX_OPEN_ANSWERS } = this.#options;
    if (answers.size >= maxOpenAnswers) return this.#close(socket);
    this.#openAnswers.delete(socket);
    this.#openAnswers.set(socket, answers);
    const release = answer(request, response);
    const end = () => {
      if (answers.delete(end)) release?.();
    };
    answers.add(end);
    response.once("close", end);
  }

  #close(socket: Socket): void {
    this.#openAnswers.delete(socket);
    socket.destroy();
    this.#closed++;
    const nowMillis = performance.now();
    if (nowMillis - this.#loggedAtMillis < LOG_INTERVAL_MILLIS) return;
    const { name, log } = this.#options;
    log.warn("connections_closed", {
      listener: name,
      closed: this.#closed,
      open: this.#openAnswers.size,
    });
    this.#loggedAtMillis = nowMillis;
    this.#closed = 0;
  }
}

/** Creates a server whose clients together hold a bounded part of the memory. */
export function createBoundedServer(
  options: BoundedServerOptions,
  answer: AnswerRequest,
): Server {
  const connections = new BoundedConnections(options);
  const server = createServer({
    maxHeaderSize: MAX_HEAD_BYTES,
    headersTimeout: TIMEOUT_MILLIS,
    requestTimeout: TIMEOUT_MILLIS,
    connectionsCheckingInterval: CHECK_INTERVAL_MILLIS,
  }, (request, response) => {
    options.pacer?.recordBrief();
    connections.answer(request, response, answer);
  });
  server.setTimeout(TIMEOUT_MILLIS);
  server.on("connection", (socket: Socket) => {
    options.pacer?.recordBrief();
    connections.add(socket);
  });
  return server;
}
