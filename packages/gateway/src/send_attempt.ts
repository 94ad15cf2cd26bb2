/**
 * Sends one request to one target over one connection and reports how that
 * ended. Answers are held until they are whole where they are small, so that
 * one cut short never reaches the caller.
 */
import type { Dispatcher } from "undici";
import type { CallerDialect } from "./caller_dialect.ts";
import type { GatewayRequest, TargetAnswer } from "./gateway_request.ts";
import type { TargetConnection } from "./target_connections.ts";

/** Answers up to this size are held until they are whole. */
const wholeAnswerBytes = 262_144;

/** How one attempt ended. */
export type AttemptEnd =
  | { kind: "answered"; answer: TargetAnswer; closesConnection: boolean }
  /** A long answer was passed on part by part. */
  | { kind: "streamed"; closesConnection: boolean }
  | { kind: "stream-cut"; reason: string }
  /** Proven not run. */
  | { kind: "not-run"; status: number; closesConnection: boolean }
  /** No connection: nothing was sent. */
  | { kind: "unreachable"; reason: string }
  /** Sent, and no usable answer: may have run. */
  | { kind: "lost"; reason: string; spoiled: boolean };

/** Headers that belong to one connection. */
const hopHeaders: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "proxy-authenticate",
  "proxy-authorization",
  "transfer-encoding",
  "te",
  "trailer",
  "upgrade",
  "expect",
  "content-length",
]);

/** Leaves out the headers of one connection, and those in `except`. */
export function endToEndHeaders(
  raw: readonly string[],
  except: ReadonlySet<string>,
): string[] {
  const kept: string[] = [];
  const listed = connectionOptions(raw);
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i].toLowerCase();
    if (hopHeaders.has(name) || except.has(name) || listed?.has(name)) continue;
    kept.push(raw[i], raw[i + 1]);
  }
  return kept;
}

/** Headers that a Connection header declares to be of one connection. */
function connectionOptions(raw: readonly string[]): Set<string> | undefined {
  let listed: Set<string> | undefined;
  for (let i = 0; i + 1 < raw.length; i += 2) {
    if (raw[i].length !== 10 || raw[i].toLowerCase() !== "connection") continue;
    for (const option of raw[i + 1].split(",")) {
      const name = option.trim().toLowerCase();
      if (name === "close" || name === "keep-alive") continue;
      listed ??= new Set();
      listed.add(name);
    }
  }
  return listed;
}

/** Answers that never have a body. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** What an attempt needs besides the request. */
export interface AttemptOptions {
  connection: TargetConnection;
  dialect: CallerDialect;
  targetId: string;
  leftMillis: number;
  /** The target's load header, as soon as the answer begins. */
  onHead: (loadHeader: string | undefined) => void;
  onEnd: (end: AttemptEnd) => void;
}

/** Starts the attempt; the returned function breaks it off. */
export function sendAttempt(
  request: GatewayRequest,
  options: AttemptOptions,
): (reason: string) => void {
  const attempt = new Attempt(request, options);
  return (reason) => attempt.abort(reason);
}

class Attempt implements Dispatcher.DispatchHandler {
  readonly #request: GatewayRequest;
  readonly #options: AttemptOptions;
  #controller: Dispatcher.DispatchController | undefined;
  #ended = false;
  #status = 0;
  #headers: string[] = [];
  #notRun = false;
  #leaving = false;
  #spoiled = "";
  #chunks: Buffer[] = [];
  #size = 0;
  #streaming = false;
  #paused = false;
  /** False for an answer that ends with its connection. */
  #framed = true;

  constructor(request: GatewayRequest, options: AttemptOptions) {
    this.#request = request;
    this.#options = options;
    const { dialect } = options;
    options.connection.client.dispatch({
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: [
        ...request.headers,
        dialect.deadlineHeader,
        String(Math.max(1, Math.floor(options.leftMillis))),
        dialect.expectedTargetHeader,
        options.targetId,
      ],
      body: request.body ?? null,
    }, this);
  }

  abort(reason: string): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#controller?.abort(new Error(reason));
    this.#options.connection.close();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#ended) controller.abort(new Error("aborted"));
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
  ): void {
    if (status < 200 || this.#ended) return;
    const { dialect } = this.#options;
    this.#status = status;
    const raw = textHeaders(controller.rawHeaders);
    const named = new Map<string, string>();
    for (let i = 0; i + 1 < raw.length; i += 2) {
      named.set(raw[i].toLowerCase(), raw[i + 1]);
    }
    this.#framed = named.has("content-length") ||
      named.has("transfer-encoding") || bodilessStatuses.has(status);
    if (!this.#framed) this.#options.connection.expectEnd();
    this.#options.onHead(named.get(dialect.loadHeader));
    this.#leaving = named.get("connection")?.toLowerCase() === "close";
    this.#notRun = named.has(dialect.notRunHeader) ||
      status === dialect.misdirectedStatus;
    this.#spoiled = this.#findSpoiled(named);
    this.#headers = endToEndHeaders(raw, new Set([dialect.loadHeader]));
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#ended) return;
    if (this.#streaming) return this.#passOn(controller, chunk);
    this.#chunks.push(chunk);
    this.#size += chunk.byteLength;
    if (this.#size > wholeAnswerBytes && !this.#spoiled && !this.#notRun) {
      this.#startStream(controller);
    }
  }

  onResponseEnd(): void {
    if (this.#ended) return;
    if (this.#framed) return this.#complete();
    this.#options.connection.endedInOrder().then((inOrder) => {
      if (this.#ended) return;
      if (inOrder) this.#complete();
      else this.#cut("reset");
    });
  }

  #complete(): void {
    const leaving = this.#leaving;
    if (this.#notRun) {
      return this.#end({
        kind: "not-run",
        status: this.#status,
        closesConnection: leaving,
      });
    }
    if (this.#spoiled) {
      return this.#end({
        kind: "lost",
        reason: this.#spoiled,
        spoiled: true,
      });
    }
    if (this.#streaming) {
      this.#request.sink.end();
      return this.#end({ kind: "streamed", closesConnection: leaving });
    }
    const body = this.#chunks.length === 1
      ? this.#chunks[0]
      : Buffer.concat(this.#chunks, this.#size);
    this.#end({
      kind: "answered",
      answer: { status: this.#status, headers: this.#headers, body },
      closesConnection: leaving,
    });
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    if (this.#ended) return;
    this.#cut((error as NodeJS.ErrnoException).code ?? error.message);
  }

  /** The connection ended before the answer was complete. */
  #cut(reason: string): void {
    if (this.#streaming) {
      this.#request.sink.cut();
      return this.#end({ kind: "stream-cut", reason });
    }
    if (!this.#options.connection.connected) {
      return this.#end({ kind: "unreachable", reason });
    }
    this.#end({ kind: "lost", reason, spoiled: false });
  }

  /** Names what makes an answer unusable; empty for a sound one. */
  #findSpoiled(headers: ReadonlyMap<string, string>): string {
    const { dialect } = this.#options;
    const id = headers.get(dialect.requestIdHeader);
    if (id !== undefined && id !== this.#request.id) return "other-request";
    const encoding = headers.get("content-encoding");
    if (encoding !== undefined && encoding.toLowerCase() !== "identity") {
      return "encoded";
    }
    const success = this.#status >= 200 && this.#status < 300;
    if (success && !headers.has(dialect.signatureHeader)) return "unsigned";
    return "";
  }

  #startStream(controller: Dispatcher.DispatchController): void {
    this.#streaming = true;
    this.#request.sink.start(this.#status, this.#headers);
    for (const chunk of this.#chunks) this.#passOn(controller, chunk);
    this.#chunks = [];
  }

  #passOn(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#request.sink.write(chunk) || this.#paused) return;
    // Parts that were already read still come after a pause.
    this.#paused = true;
    controller.pause();
    this.#request.sink.onDrain(() => {
      this.#paused = false;
      controller.resume();
    });
  }

  #end(end: AttemptEnd): void {
    this.#ended = true;
    this.#options.onEnd(end);
  }
}

function textHeaders(
  raw: Dispatcher.DispatchController["rawHeaders"],
): string[] {
  if (!Array.isArray(raw)) return [];
  return raw.map((item) =>
    typeof item === "string" ? item : item.toString("latin1")
  );
}
