/**
 * Sends one attempt to one target over HTTP and classifies how it ended.
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

/** Response of a target before its body is read. */
export interface TargetResponse {
  status: number;
  headers: HeaderPair[];
  body: AsyncIterable<Uint8Array>;
  destroy(): void;
  draining: boolean;
}

/** What one attempt needs. */
export interface AttemptOptions {
  signal: CancelSignal;
  remainingMillis: number;
  refusal: NotRunRefusal;
  drainHeader: string;
}

const connectTimeoutMillis = 500;
const crashCheckTimeoutMillis = 200;
/** Time left for the target, in its own header. Unit: milliseconds. */
export const timeoutHeader = "bamboolane-timeout-millis";
/** Headers that belong to one connection and are never passed on. */
const hopHeaders = new Set([
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

/** Leaves out headers that belong to one connection. */
export function passHeaders(raw: readonly string[]): HeaderPair[] {
  const pairs: HeaderPair[] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i].toLowerCase();
    if (!hopHeaders.has(name)) pairs.push([name, raw[i + 1]]);
  }
  return pairs;
}

const connectErrors = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ETIMEDOUT",
  "UND_ERR_CONNECT_TIMEOUT",
]);

function classifyError(error: unknown, signal: CancelSignal): ResultCodeInfo {
  const code = (error as { code?: string }).code ?? "";
  if (signal.aborted) return ResultCode.callerCancelled;
  return connectErrors.has(code)
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
  response: Dispatcher.ResponseData,
  refusal: NotRunRefusal,
): boolean {
  return response.statusCode === refusal.status &&
    response.headers[refusal.header] === refusal.value;
}

function flatten(headers: Dispatcher.ResponseData["headers"]): HeaderPair[] {
  const pairs: HeaderPair[] = [];
  for (const [name, value] of Object.entries(headers)) {
    if (hopHeaders.has(name) || value === undefined) continue;
    for (const one of Array.isArray(value) ? value : [value]) {
      pairs.push([name, one]);
    }
  }
  return pairs;
}

/** Connections to one target. */
export class TargetClient {
  readonly #address: string;
  readonly #pool: Pool;

  constructor(address: string, options: { slots: number }) {
    this.#address = address;
    this.#pool = new Pool(`http://${address}`, {
      connections: options.slots * 2,
      pipelining: 1,
      connectTimeout: connectTimeoutMillis,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  get address(): string {
    return this.#address;
  }

  /** Sends one attempt; rejects with a {@link SteeringError}. */
  async send(work: Work, options: AttemptOptions): Promise<TargetResponse> {
    const headers = work.headers.flatMap(([name, value]) => [name, value]);
    headers.push(
      timeoutHeader,
      String(Math.max(1, Math.floor(options.remainingMillis))),
    );
    let response: Dispatcher.ResponseData;
    try {
      response = await this.#pool.request({
        method: work.info.method as Dispatcher.HttpMethod,
        path: work.info.path,
        headers,
        body: toDispatchBody(work.body),
        // Only the listener methods and `aborted` are used of it.
        signal: options.signal as AbortSignal,
      });
    } catch (error) {
      const info = classifyError(error, options.signal);
      throw new SteeringError(
        info,
        `Target ${this.#address}: ${(error as Error).message}.`,
      );
    }
    const draining = response.headers[options.drainHeader] !== undefined;
    if (isRefusal(response, options.refusal)) {
      response.body.on("error", () => {});
      response.body.resume();
      throw new TargetRefusal(draining);
    }
    response.body.on("error", () => {});
    return {
      status: response.statusCode,
      headers: flatten(response.headers),
      body: response.body as AsyncIterable<Uint8Array>,
      destroy: () => response.body.destroy(),
      draining,
    };
  }

  /** Asks for the target's health; undefined where it does not answer. */
  async probe(
    timeoutMillis: number,
  ): Promise<{ draining: boolean } | undefined> {
    try {
      const response = await this.#pool.request({
        method: "GET",
        path: "/health",
        signal: AbortSignal.timeout(timeoutMillis),
      });
      const state = await response.body.json() as { state?: string };
      return { draining: state.state === "draining" };
    } catch {
      return undefined;
    }
  }

  /** True where the target's port is closed, so that its process is gone. */
  isGone(): Promise<boolean> {
    const [host, port] = this.#address.split(":");
    return new Promise((resolve) => {
      const socket = connect({ host, port: Number(port) });
      const finish = (gone: boolean) => {
        socket.destroy();
        resolve(gone);
      };
      socket.setTimeout(crashCheckTimeoutMillis, () => finish(false));
      socket.once("connect", () => finish(false));
      socket.once(
        "error",
        (error: NodeJS.ErrnoException) => finish(error.code === "ECONNREFUSED"),
      );
    });
  }

  close(): void {
    this.#pool.destroy().catch(() => {});
  }
}

/** The target refused in the declared form: proof that it did not run. */
export class TargetRefusal extends SteeringError {
  readonly draining: boolean;

  constructor(draining: boolean) {
    super(ResultCode.targetRefused);
    this.draining = draining;
  }
}
