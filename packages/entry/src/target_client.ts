/**
 * Sends attempts to one target over HTTP and classifies how they ended; also
 * checks the target's health.
 *
 * A target may send an earlier answer again. An answer belongs to an attempt if it
 * names it, or if nothing else was answered on its connection. So connections are
 * reused only while the target names the attempts in its answers.
 */
import { connect } from "node:net";
import { type Dispatcher, Pool } from "undici";
import { Buffer } from "node:buffer";
import {
  ResultCode,
  type ResultCodeInfo,
} from "@bamboolane/errors/result_code";
import { SteeringError } from "@bamboolane/errors/steering_error";
import type { HeaderPair } from "@bamboolane/idempotency/execution_table";
import type { NotRunRefusal } from "@bamboolane/types/fleet";
import type { RequestBody, Work } from "./answer.ts";
import type { CancelSignal } from "./cancellation.ts";
import { ProbedClient, type SentBy } from "./probed_client.ts";

/** Response of a target whose body is not read yet. */
export interface TargetResponse {
  status: number;
  headers: HeaderPair[];
  body: AsyncIterable<Uint8Array>;
  /** Ends the response without reading the rest of its body. */
  destroy(): void;
  /** True if the response signals that the target is draining. */
  draining: boolean;
}

/** Options of one attempt. */
export interface AttemptOptions {
  signal: CancelSignal;
  /** Time left until the request's deadline, which the target is told. */
  remainingMillis: number;
  /** The response by which the target declares that it did not run a request. */
  refusal: NotRunRefusal;
  /** Name of the response header that signals draining. */
  drainHeader: string;
}

const CONNECT_TIMEOUT_MILLIS = 500;
const CRASH_CHECK_TIMEOUT_MILLIS = 200;
/** Header with the time left for the request. Unit: milliseconds. */
export const TIMEOUT_HEADER = "bamboolane-timeout-millis";
/**
 * Header that names the attempt. A target that repeats it in its answer shows
 * that this is no late copy of an earlier answer on the same connection.
 */
export const ATTEMPT_HEADER = "bamboolane-attempt";
/**
 * After an answer that names no attempt, each request gets a connection of its own for
 * this long.
 */
const UNNAMED_ANSWER_PERIOD_MILLIS = 60_000;
/**
 * Idle timeout of connections. Shorter than the period above, so that no connection
 * from before it is used after it.
 */
const MAX_IDLE_MILLIS = 30_000;
/** Size up to which a refusal's body is read, so that its connection can be reused. */
const MAX_REFUSAL_BYTES = 16_384;
/** Headers that apply to a single connection and are never passed on. */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "transfer-encoding",
  "te",
  "trailer",
  "upgrade",
  "host",
  "expect",
]);

/**
 * Converts raw headers to pairs, without those that apply to a single
 * connection.
 */
export function withoutHopByHopHeaders(raw: readonly string[]): HeaderPair[] {
  const pairs: HeaderPair[] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i].toLowerCase();
    if (!HOP_BY_HOP_HEADERS.has(name)) pairs.push([name, raw[i + 1]]);
  }
  return pairs;
}

/** Statuses of answers that never have a body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** True if no connection could be made, so that nothing was sent. */
function isConnectError(error: NodeJS.ErrnoException): boolean {
  // The system reports some codes, such as ETIMEDOUT, for open connections too.
  return error.code === "UND_ERR_CONNECT_TIMEOUT" ||
    error.syscall === "connect";
}

function classifyError(error: unknown, signal: CancelSignal): ResultCodeInfo {
  // The attempt runner replaces this if the deadline caused the abort.
  if (signal.aborted) return ResultCode.callerCancelled;
  return isConnectError(error as NodeJS.ErrnoException)
    ? ResultCode.connectFailed
    : ResultCode.targetLost;
}

function toDispatchBody(body: RequestBody): Dispatcher.DispatchOptions["body"] {
  if (body.kind === "whole") {
    return body.bytes.byteLength === 0 ? null : Buffer.from(body.bytes);
  }
  body.consumed = true;
  return body.chunks as unknown as Dispatcher.DispatchOptions["body"];
}

function isRefusal(
  response: Dispatcher.ResponseData<unknown>,
  refusal: NotRunRefusal,
): boolean {
  return response.statusCode === refusal.status &&
    response.headers[refusal.header] === refusal.value;
}

/** True if the end of the answer can be told without the end of its connection. */
function isFramed(response: Dispatcher.ResponseData<unknown>): boolean {
  return response.headers["content-length"] !== undefined ||
    response.headers["transfer-encoding"] === "chunked" ||
    BODILESS_STATUSES.has(response.statusCode);
}

/** Passes an answer without a length on; throws at its end if the connection was reset. */
async function* readUnframed(
  body: AsyncIterable<Uint8Array>,
  client: ProbedClient | undefined,
): AsyncGenerator<Uint8Array> {
  yield* body;
  if (await client?.closedCleanly()) return;
  throw new Error("the connection was reset at the end of the answer");
}

function toHeaderPairs(
  headers: Dispatcher.ResponseData["headers"],
): HeaderPair[] {
  const pairs: HeaderPair[] = [];
  for (const [name, value] of Object.entries(headers)) {
    if (HOP_BY_HOP_HEADERS.has(name) || name === ATTEMPT_HEADER) continue;
    if (value === undefined) continue;
    for (const item of Array.isArray(value) ? value : [value]) {
      pairs.push([name, item]);
    }
  }
  return pairs;
}

/** HTTP client with a connection pool for one target. */
export class TargetClient {
  readonly #address: string;
  /** Connections that are reused. */
  readonly #pool: Pool;
  /** Connections of one request each. */
  readonly #singleUsePool: Pool;
  #attempts = 0;
  /** End of the period in which no connection is reused. */
  #reuseFromMillis = -Infinity;

  constructor(address: string, options: { slots: number }) {
    this.#address = address;
    const connections = options.slots * 2;
    this.#pool = createPool(address, connections);
    this.#singleUsePool = createPool(address, connections);
  }

  get address(): string {
    return this.#address;
  }

  /** Sends one attempt; rejects with a {@link SteeringError}. */
  async send(work: Work, options: AttemptOptions): Promise<TargetResponse> {
    // The request's own count starts again where another entry forwards it again.
    const attempt = `${work.info.id}.${++this.#attempts}`;
    const headers = work.headers.filter(([name]) => name !== ATTEMPT_HEADER)
      .flatMap(([name, value]) => [name, value]);
    headers.push(
      ATTEMPT_HEADER,
      attempt,
      TIMEOUT_HEADER,
      String(Math.max(1, Math.floor(options.remainingMillis))),
    );
    const sentBy: SentBy = { client: undefined };
    const isSingleUse = performance.now() < this.#reuseFromMillis;
    const pool = isSingleUse ? this.#singleUsePool : this.#pool;
    let response: Dispatcher.ResponseData<SentBy>;
    try {
      response = await pool.request({
        method: work.info.method as Dispatcher.HttpMethod,
        path: work.info.path,
        headers,
        body: toDispatchBody(work.body),
        opaque: sentBy,
        reset: isSingleUse,
        // undici uses only the listener methods and `aborted`.
        signal: options.signal as AbortSignal,
      });
    } catch (error) {
      const info = classifyError(error, options.signal);
      throw new SteeringError(
        info,
        `Target ${this.#address}: ${(error as Error).message}.`,
      );
    }
    response.body.on("error", () => {});
    if (!this.#answersAttempt(attempt, response)) {
      response.body.destroy();
      throw new SteeringError(
        ResultCode.targetLost,
        `Target ${this.#address}: the answer may be to another attempt.`,
      );
    }
    const draining = response.headers[options.drainHeader] !== undefined;
    if (isRefusal(response, options.refusal)) {
      // Closes the connection if the body is longer.
      response.body.dump({ limit: MAX_REFUSAL_BYTES }).catch(() => {});
      throw new TargetRefusal(draining);
    }
    return {
      status: response.statusCode,
      headers: toHeaderPairs(response.headers),
      body: isFramed(response)
        ? response.body as AsyncIterable<Uint8Array>
        : readUnframed(response.body, sentBy.client),
      destroy: () => response.body.destroy(),
      draining,
    };
  }

  /** False if the answer may be a copy of an earlier one on its connection. */
  #answersAttempt(
    attempt: string,
    response: Dispatcher.ResponseData<SentBy>,
  ): boolean {
    const isFirst = response.opaque.client?.countAnswer() === 1;
    const named = response.headers[ATTEMPT_HEADER];
    if (named !== undefined) return named === attempt;
    this.#reuseFromMillis = performance.now() + UNNAMED_ANSWER_PERIOD_MILLIS;
    return isFirst;
  }

  /** Runs one health check; undefined if the target does not answer. */
  async probe(
    timeoutMillis: number,
  ): Promise<{ draining: boolean } | undefined> {
    try {
      const response = await this.#singleUsePool.request({
        method: "GET",
        path: "/health",
        reset: true,
        signal: AbortSignal.timeout(timeoutMillis),
      });
      const state = await response.body.json() as { state?: string };
      return { draining: state.state === "draining" };
    } catch {
      return undefined;
    }
  }

  /**
   * True if the target's port is closed, which shows that its process has
   * ended.
   */
  isPortClosed(): Promise<boolean> {
    const [host, port] = this.#address.split(":");
    return new Promise((resolve) => {
      const socket = connect({ host, port: Number(port) });
      const finish = (closed: boolean) => {
        socket.destroy();
        resolve(closed);
      };
      socket.setTimeout(CRASH_CHECK_TIMEOUT_MILLIS, () => finish(false));
      socket.once("connect", () => finish(false));
      socket.once(
        "error",
        (error: NodeJS.ErrnoException) => finish(error.code === "ECONNREFUSED"),
      );
    });
  }

  close(): void {
    this.#pool.destroy().catch(() => {});
    this.#singleUsePool.destroy().catch(() => {});
  }
}

function createPool(address: string, connections: number): Pool {
  return new Pool(`http://${address}`, {
    factory: (origin, clientOptions) =>
      new ProbedClient(origin, {
        ...clientOptions,
        connectTimeout: CONNECT_TIMEOUT_MILLIS,
      }),
    connections,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveMaxTimeout: MAX_IDLE_MILLIS,
  });
}

/**
 * A refusal in the form that the service declares as proof that the request did
 * not run.
 */
export class TargetRefusal extends SteeringError {
  readonly draining: boolean;

  constructor(draining: boolean) {
    super(ResultCode.targetRefused);
    this.draining = draining;
  }
}
