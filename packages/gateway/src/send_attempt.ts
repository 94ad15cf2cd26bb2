/**
 * Sends one request to one target over one connection and reports the result.
 * Small answers are buffered until they are complete, so that a truncated one
 * never reaches the caller.
 */
import type { Dispatcher } from "undici";
import { ByteCollector } from "./byte_collector.ts";
import type { CallerDialect } from "./caller_dialect.ts";
import { endToEndHeaders } from "./end_to_end_headers.ts";
import {
  formatForwarded,
  FORWARDED_HEADER,
  type ForwardedState,
  RESULT_HEADER,
} from "./forwarding_headers.ts";
import {
  type GatewayRequest,
  NOT_RUN_STATUSES,
  type TargetAnswer,
} from "./gateway_request.ts";
import type { MemoryAmount } from "./memory_budget.ts";
import {
  answerHeadCost,
  ORDINARY_ANSWER_BYTES,
  partialAnswerHeadCost,
} from "./memory_costs.ts";
import type { TargetConnection } from "./target_connections.ts";

/** Answers up to this size are buffered until they are complete; larger ones are streamed. */
const MAX_BUFFERED_ANSWER_BYTES = 262_144;
/**
 * A refusal is known from its head; its body is read only so that the connection
 * can be reused. A longer body is not worth that.
 */
const MAX_REFUSAL_BYTES = 16_384;
/** How long the body of a refusal may take, for the same reason. */
const REFUSAL_BODY_TIMEOUT_MILLIS = 100;

/**
 * Buffers of a streamed answer whose caller reads slowly, besides what was received when
 * it began: a piece to write, and one that was read after it.
 */
const STREAM_BUFFER_BYTES = 131_072;

/** Share of the memory that may be taken for heads and trailers that are not complete. */
const PARTIAL_FIELDS_SHARE = 0.6;

/** Result of one attempt. */
export type AttemptEnd =
  | { kind: "answered"; answer: TargetAnswer; closesConnection: boolean }
  /** An answer too large to buffer was streamed to the caller. */
  | { kind: "streamed"; status: number; closesConnection: boolean }
  | { kind: "stream-cut"; reason: string }
  /** The target, or the entry that the request was forwarded to, did not run it. */
  | {
    kind: "not-run";
    status: number;
    closesConnection: boolean;
    /** When the other entry expects room. */
    retryAfterMillis?: number;
  }
  /** No connection could be made; nothing was sent. */
  | { kind: "unreachable"; reason: string }
  /** The connection ended before the request was written to it. */
  | { kind: "unsent"; reason: string }
  /**
   * Sent, but without a valid answer; the request may have run. `corrupt` if an
   * answer arrived that must not be forwarded.
   */
  | {
    kind: "lost";
    reason: string;
    corrupt: boolean;
    /** The id in an answer that isn't this request's; empty for an answer without one. */
    namedRequest?: string;
  };

/** Statuses of answers that never have a body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** What an answer's headers state about its target. */
export interface AnswerHead {
  status: number;
  /** The target proved that it did not run the request. */
  notRun: boolean;
  /** False for an answer without an id: what it states of its target doesn't count. */
  namesRequest: boolean;
  /** The target's load header, if any. */
  load: string | undefined;
  /** The target's limit header, if any. */
  limit: string | undefined;
  /** The target says that it leaves. */
  leaving: boolean;
  /** Retry-After of a target that turned the request away; undefined if there is none. */
  retryAfter: string | undefined;
}

/** Statuses with which a target turns requests away for a time. */
const PAUSE_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/** Who receives a request: a target, or another entry that sends it to one. */
export type Recipient =
  | { kind: "target"; id: string }
  | { kind: "entry"; state: ForwardedState };

/** Options of {@link sendAttempt}. */
export interface AttemptOptions {
  connection: TargetConnection;
  dialect: CallerDialect;
  recipient: Recipient;
  /** Time until the request's deadline, which is forwarded to the target. */
  remainingMillis: number;
  /** Called once the answer's headers arrived. */
  onHead: (head: AnswerHead) => void;
  /** Called when a streamed answer begins to wait until its caller reads, and ends to. */
  onCallerWait?: (isWaiting: boolean) => void;
  onEnd: (end: AttemptEnd) => void;
  /** Called with an error that a callback of the attempt threw, in place of `onEnd`. */
  onFault: (error: Error) => void;
}

/**
 * Starts an attempt. The returned function aborts it without a call of `onEnd`; it
 * returns false if the attempt had ended already.
 */
export function sendAttempt(
  request: GatewayRequest,
  options: AttemptOptions,
): (reason: string) => boolean {
  const attempt = new Attempt(request, options);
  attempt.start();
  return (reason) => attempt.abort(reason);
}

class Attempt implements Dispatcher.DispatchHandler {
  readonly #request: GatewayRequest;
  readonly #options: AttemptOptions;
  #controller: Dispatcher.DispatchController | undefined;
  #ended = false;
  /** True while the request is handed to the connection, which may fail at once. */
  #starting = false;
  /** True once the connection has begun to write the request. */
  #written = false;
  #status = 0;
  #headers: string[] = [];
  #notRun = false;
  #closesConnection = false;
  #refusalTimer: NodeJS.Timeout | undefined;
  #retryAfterMillis: number | undefined;
  readonly #body: ByteCollector;
  /** Memory of a head or trailers that are not complete. */
  #partialFields: MemoryAmount = { heapBytes: 0, bufferBytes: 0 };
  /** Buffers for the answer that may still be used without taking more memory. */
  #freeBytes = ORDINARY_ANSWER_BYTES;
  #size = 0;
  #streaming = false;
  /** Pieces of a streamed answer that are not written to the caller yet. */
  #unforwarded: Buffer[] = [];
  /** False for an answer without a length that ends with its connection. */
  #framed = true;

  constructor(request: GatewayRequest, options: AttemptOptions) {
    this.#request = request;
    this.#options = options;
    this.#body = new ByteCollector({
      announcedBytes: 0,
      reserve: (bytes) => this.#reserve(bytes),
    });
  }

  start(): void {
    const { connection, dialect, remainingMillis } = this.#options;
    this.#starting = true;
    connection.expectAnswer((bytes) => this.#reserveFields(bytes));
    connection.client.dispatch({
      method: this.#request.method as Dispatcher.HttpMethod,
      path: this.#request.path,
      headers: [
        ...this.#request.headers,
        dialect.deadlineHeader,
        String(Math.max(1, Math.floor(remainingMillis))),
        ...recipientHeaders(this.#options),
      ],
      body: this.#request.body ?? null,
    }, this);
    this.#starting = false;
  }

  abort(reason: string): boolean {
    if (this.#ended) return false;
    this.#ended = true;
    this.#releaseFields();
    clearTimeout(this.#refusalTimer);
    this.#controller?.abort(new Error(reason));
    this.#options.connection.close();
    if (this.#streaming) this.#request.sink.cut();
    return true;
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    this.#written = true;
    if (this.#ended) controller.abort(new Error("aborted"));
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
  ): void {
    if (status < 200 || this.#ended) return;
    this.#guard(() => this.#handleHead(controller, status));
  }

  #handleHead(
    controller: Dispatcher.DispatchController,
    status: number,
  ): void {
    const { connection, dialect, onHead } = this.#options;
    this.#releaseFields();
    this.#status = status;
    const raw = textHeaders(controller.rawHeaders);
    // Its buffers would be kept until the answer is complete.
    controller.rawHeaders = [];
    const headBytes = sizeOfHead(raw);
    connection.headReceived(headBytes);
    const cost = answerHeadCost(headBytes, raw.length / 2);
    if (cost.heapBytes > 0 && !this.#request.memory.reserve(cost)) {
      return this.#end({ kind: "lost", reason: "no-memory", corrupt: true });
    }
    const headersByName = new Map<string, string>();
    for (let i = 0; i + 1 < raw.length; i += 2) {
      headersByName.set(raw[i].toLowerCase(), raw[i + 1]);
    }
    this.#framed = headersByName.has("content-length") ||
      isChunked(headersByName) || BODILESS_STATUSES.has(status);
    if (!this.#framed) connection.expectClose();
    this.#closesConnection =
      headersByName.get("connection")?.toLowerCase() === "close";
    if (!this.#answersThisRequest(headersByName)) {
      return this.#end({
        kind: "lost",
        reason: "other-request",
        corrupt: true,
        namedRequest: headersByName.get(dialect.requestIdHeader) ?? "",
      });
    }
    this.#notRun = this.#isNotRun(status, headersByName);
    const leaving = headersByName.get(dialect.leavingHeader);
    onHead({
      status,
      notRun: this.#notRun,
      namesRequest: headersByName.has(dialect.requestIdHeader),
      load: headersByName.get(dialect.loadHeader),
      limit: headersByName.get(dialect.limitHeader),
      leaving: leaving !== undefined && dialect.parseLeaving(leaving),
      retryAfter: PAUSE_STATUSES.has(status)
        ? headersByName.get("retry-after")
        : undefined,
    });
    if (this.#notRun) {
      this.#refusalTimer = setTimeout(
        () => this.#guard(() => this.#endUnfinishedRefusal()),
        REFUSAL_BODY_TIMEOUT_MILLIS,
      );
      return;
    }
    const corruption = this.#findCorruption(headersByName);
    if (corruption) {
      return this.#end({ kind: "lost", reason: corruption, corrupt: true });
    }
    this.#headers = endToEndHeaders(
      raw,
      new Set([
        dialect.loadHeader,
        dialect.limitHeader,
        dialect.leavingHeader,
        // Only an entry itself says this; another entry takes it for a promise.
        RESULT_HEADER,
      ]),
    );
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (!this.#ended) this.#guard(() => this.#handleChunk(chunk));
  }

  #handleChunk(chunk: Buffer): void {
    this.#options.connection.contentsReceived(chunk.byteLength);
    if (this.#streaming) return this.#forwardChunk(chunk);
    this.#size += chunk.byteLength;
    if (this.#notRun) {
      if (this.#size > MAX_REFUSAL_BYTES) this.#endUnfinishedRefusal();
      return;
    }
    if (this.#size > MAX_BUFFERED_ANSWER_BYTES || !this.#body.add(chunk)) {
      this.#startStream(chunk);
    }
  }

  /** Takes memory for a part of the head or of trailers; returns false if there is none. */
  #reserveFields(bytes: number): boolean {
    if (this.#ended) return true;
    const { memory } = this.#request;
    memory.release(this.#partialFields);
    const cost = partialAnswerHeadCost(bytes);
    const isReserved = cost.heapBytes === 0 ||
      memory.reserve(cost, PARTIAL_FIELDS_SHARE);
    this.#partialFields = isReserved ? cost : { heapBytes: 0, bufferBytes: 0 };
    return isReserved;
  }

  #releaseFields(): void {
    this.#request.memory.release(this.#partialFields);
    this.#partialFields = { heapBytes: 0, bufferBytes: 0 };
  }

  /** Takes memory for the answer; returns false if there is not enough. */
  #reserve(bytes: number): boolean {
    const missingBytes = bytes - this.#freeBytes;
    if (
      missingBytes > 0 && !this.#request.memory.reserveBuffer(missingBytes)
    ) return false;
    this.#freeBytes = Math.max(0, -missingBytes);
    return true;
  }

  onResponseEnd(): void {
    if (this.#ended) return;
    if (this.#framed) return this.#guard(() => this.#complete());
    this.#options.connection.closedCleanly().then((clean) => {
      if (this.#ended) return;
      this.#guard(() => clean ? this.#complete() : this.#cut("reset"));
    });
  }

  #complete(): void {
    const closesConnection = this.#closesConnection;
    if (this.#notRun) {
      return this.#end({
        kind: "not-run",
        status: this.#status,
        closesConnection,
        retryAfterMillis: this.#retryAfterMillis,
      });
    }
    if (this.#streaming) {
      this.#forwardChunks();
      this.#request.sink.end();
      const status = this.#status;
      return this.#end({ kind: "streamed", status, closesConnection });
    }
    this.#end({
      kind: "answered",
      answer: {
        status: this.#status,
        headers: this.#headers,
        body: this.#body.contents(),
      },
      closesConnection,
    });
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    if (this.#ended) return;
    const reason = (error as NodeJS.ErrnoException).code ?? error.message;
    this.#guard(() => this.#cut(reason));
  }

  /**
   * Ends an attempt whose connection could not be made, or ended before the
   * answer was complete.
   */
  #cut(reason: string): void {
    if (this.#notRun) return this.#endUnfinishedRefusal();
    if (this.#streaming) {
      this.#request.sink.cut();
      return this.#end({ kind: "stream-cut", reason });
    }
    if (!this.#options.connection.connected) {
      return this.#end({ kind: "unreachable", reason });
    }
    if (!this.#written) return this.#end({ kind: "unsent", reason });
    this.#end({ kind: "lost", reason, corrupt: false });
  }

  /** Ends an attempt that the target refused; the rest of its answer is not read. */
  #endUnfinishedRefusal(): void {
    this.#end({
      kind: "not-run",
      status: this.#status,
      closesConnection: true,
      retryAfterMillis: this.#retryAfterMillis,
    });
  }

  /**
   * False if the answer may be a late copy of an earlier one on this connection. An id
   * tells, since the connection has not carried this one before; an answer without an id
   * counts only if nothing else was sent there, or if an entry refuses what it has not
   * read: no copy can follow, since the connection ends with that answer.
   */
  #answersThisRequest(headers: ReadonlyMap<string, string>): boolean {
    const { connection, dialect } = this.#options;
    const id = headers.get(dialect.requestIdHeader)?.trim();
    if (id !== undefined) return id === this.#request.id;
    return !connection.isReused ||
      this.#closesConnection && this.#isEntryRefusal(headers);
  }

  /** True if the recipient proved that the request did not run. */
  #isNotRun(status: number, headers: ReadonlyMap<string, string>): boolean {
    const { dialect, recipient } = this.#options;
    switch (recipient.kind) {
      case "target":
        return headers.has(dialect.notRunHeader) ||
          status === dialect.misdirectedStatus;
      case "entry": {
        const retryAfterSeconds = Number(headers.get("retry-after"));
        if (retryAfterSeconds > 0) {
          this.#retryAfterMillis = retryAfterSeconds * 1000;
        }
        return this.#isEntryRefusal(headers);
      }
    }
  }

  /** True if another entry says that it did not run the request; a target can't say so. */
  #isEntryRefusal(headers: ReadonlyMap<string, string>): boolean {
    return this.#options.recipient.kind === "entry" &&
      headers.get(RESULT_HEADER) === "refused";
  }

  /** Returns the reason why an answer is corrupt; empty for a valid one. */
  #findCorruption(headers: ReadonlyMap<string, string>): string {
    const { dialect, recipient } = this.#options;
    const result = headers.get(RESULT_HEADER);
    if (recipient.kind === "entry" && result !== undefined) {
      return `entry-${result}`;
    }
    const encoding = headers.get("content-encoding") ?? "identity";
    if (encoding.toLowerCase() !== "identity") return "encoded";
    if (headers.has("transfer-encoding") && !isChunked(headers)) {
      return "transfer-coded";
    }
    const success = this.#status >= 200 && this.#status < 300;
    if (success && !headers.has(dialect.signatureHeader)) return "unsigned";
    return "";
  }

  /**
   * Forwards an answer that can't be buffered as it arrives: what was received so far,
   * and `chunk`.
   */
  #startStream(chunk: Buffer): void {
    if (NOT_RUN_STATUSES.has(this.#status)) {
      // Callers would take the status for proof that the request did not run.
      return this.#end({
        kind: "lost",
        reason: `target-${this.#status}`,
        corrupt: true,
      });
    }
    this.#streaming = true;
    this.#request.memory.take({
      heapBytes: 0,
      bufferBytes: STREAM_BUFFER_BYTES,
    });
    this.#request.sink.start(this.#status, this.#headers);
    const received = this.#body.contents();
    if (received.byteLength > 0) this.#forwardChunk(received);
    this.#forwardChunk(chunk);
  }

  /** Forwards what one read from the connection brings as one piece. */
  #forwardChunk(chunk: Buffer): void {
    this.#unforwarded.push(chunk);
    if (this.#unforwarded.length > 1) return;
    queueMicrotask(() => {
      if (!this.#ended) this.#guard(() => this.#forwardChunks());
    });
  }

  #forwardChunks(): void {
    const chunks = this.#unforwarded;
    if (chunks.length === 0) return;
    this.#unforwarded = [];
    const data = chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
    if (this.#request.sink.write(data)) return;
    // What was read already still arrives after the pause.
    const { connection, onCallerWait } = this.#options;
    if (!connection.pauseReading()) return;
    onCallerWait?.(true);
    this.#request.sink.onDrain(() => {
      if (this.#ended) return;
      onCallerWait?.(false);
      connection.resumeReading();
    });
  }

  /** Runs a callback; an error in it fails this request, not the process. */
  #guard(callback: () => void): void {
    try {
      callback();
    } catch (error) {
      this.#ended = true;
      clearTimeout(this.#refusalTimer);
      this.#options.onFault(error as Error);
    }
  }

  #end(end: AttemptEnd): void {
    this.#ended = true;
    this.#releaseFields();
    clearTimeout(this.#refusalTimer);
    this.#options.connection.answerEnded();
    this.#options.connection.resumeReading();
    // The sender doesn't know the attempt yet while it is being started.
    if (this.#starting) {
      queueMicrotask(() => this.#guard(() => this.#options.onEnd(end)));
    } else this.#options.onEnd(end);
  }
}

/** Headers that name the recipient, or tell it what happened to the request before. */
function recipientHeaders(
  { recipient, dialect }: AttemptOptions,
): [string, string] {
  switch (recipient.kind) {
    case "target":
      return [dialect.expectedTargetHeader, recipient.id];
    case "entry":
      return [FORWARDED_HEADER, formatForwarded(recipient.state)];
  }
}

/** True if the answer is sent in chunks, and in no other transfer coding. */
function isChunked(headers: ReadonlyMap<string, string>): boolean {
  return headers.get("transfer-encoding")?.toLowerCase() === "chunked";
}

/** Size of a head with the separators of its fields. */
function sizeOfHead(raw: readonly string[]): number {
  let bytes = 0;
  for (const text of raw) bytes += text.length + 2;
  return bytes;
}

function textHeaders(
  raw: Dispatcher.DispatchController["rawHeaders"],
): string[] {
  if (!Array.isArray(raw)) return [];
  return raw.map((item) =>
    typeof item === "string" ? item : item.toString("latin1")
  );
}
