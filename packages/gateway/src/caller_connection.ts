/**
 * One connection of a caller: its incomplete answers, whether another request may be
 * on its way, and how it is closed.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { MemoryShare } from "./memory_budget.ts";
import { ANSWERED_REQUEST_COST } from "./memory_costs.ts";

/** Maximum time until the first request on a new connection, or the rest of a request. */
const REQUEST_ARRIVAL_MILLIS = 1000;
/**
 * Pipelined requests that run at the same time. Their answers wait in memory for those
 * before them, also while the caller reads nothing.
 */
const MAX_CONCURRENT_REQUESTS = 16;
/** How long a caller may take to close its side after the last answer. */
const LINGER_MILLIS = 1000;

/**
 * Requests behind the last one that is answered after which the connection is reset
 * where memory is short: they would stay in memory until then.
 */
const MAX_DROPPED_REQUESTS = 256;

/** Bytes that count as progress of a caller that sends slowly. */
const MIN_PROGRESS_BYTES = 256;

/** Time after which bytes that were read count half. */
const RECENT_HALF_LIFE_MILLIS = 5000;

/** Why the requests of a connection are refused. */
export type Lack = "no-memory" | "no-descriptor" | "no-time";

/** Options of {@link CallerConnection}. */
export interface CallerConnectionOptions {
  /** Memory that the connection takes; closed with it. */
  memory: MemoryShare;
  /** Why its requests are refused; undefined for a connection that is served. */
  lack?: Lack;
}

/** Connection of a caller. */
export class CallerConnection {
  /** Incomplete answers, in the order of their requests. */
  readonly pending = new Set<ServerResponse>();
  /** Why the requests of this connection are refused; undefined if they are served. */
  readonly lack: Lack | undefined;
  readonly #socket: Socket;
  readonly #memory: MemoryShare;
  /** Called once for each answer that is complete, or can't be sent any more. */
  readonly #onSettled = new Map<ServerResponse, () => void>();
  /** Answers of the requests that may run. */
  readonly #running = new Set<ServerResponse>();
  /** Answers of the requests that wait until others are answered, in their order. */
  readonly #waiting = new Map<ServerResponse, () => void>();
  /** Bytes that were read up to the last request; undefined before the first one. */
  #requestBytes: number | undefined;
  /** Bytes that were read up to the last request, or the last piece of a body. */
  #parsedBytes = 0;
  /** Since when a request is on its way; undefined while none is. */
  #arrivingSinceMillis: number | undefined = performance.now();
  #closing = false;
  #isPaused = false;
  #discardsInput = false;
  #droppedCount = 0;
  /** The answer that announces the close; undefined until there is one. */
  #lastAnswer: ServerResponse | undefined;
  /** The request whose head was read last, with its answer. */
  #latest: { request: IncomingMessage; response: ServerResponse } | undefined;
  /** What was read up to a time, weighted by its age then. */
  #recent = { weightedBytes: 0, readBytes: 0, atMillis: performance.now() };
  /** Bytes read and not yet sent when the connection last made progress. */
  #progress = { readBytes: 0, unsentBytes: 0, atMillis: performance.now() };

  constructor(socket: Socket, options: CallerConnectionOptions) {
    this.#socket = socket;
    this.#memory = options.memory;
    this.lack = options.lack;
    // The HTTP server calls this after an answer that announced the close.
    socket.destroySoon = () => this.end();
    // Answers that wait for those before them emit no event of their own.
    socket.once("close", () => {
      for (const response of [...this.pending]) this.#settle(response);
      this.#memory.close();
    });
  }

  /**
   * Records a request whose head was read, and its answer until it is complete.
   * Returns false if an earlier answer closes the connection: the request must not be
   * processed, since its caller will send it again on another connection.
   */
  track(request: IncomingMessage, response: ServerResponse): boolean {
    this.#recordRead();
    if (this.#lastAnswer !== undefined) {
      request.resume();
      // It stays in memory until the answers before it are sent.
      this.#memory.take(ANSWERED_REQUEST_COST);
      this.discardInput();
      const isFlood = ++this.#droppedCount > MAX_DROPPED_REQUESTS;
      if (isFlood && this.#memory.isExceeded) this.reset();
      return false;
    }
    this.#latest = { request, response };
    this.pending.add(response);
    response.once("close", () => {
      this.#settle(response);
      // Its head may have been sent before it became the last one.
      if (response === this.#lastAnswer) this.end();
    });
    request.once("end", () => this.#recordRead());
    if (this.#closing) this.#lastAnswer = response;
    return true;
  }

  /** Calls `callback` once the answer is complete, or can't be sent any more. */
  onSettled(response: ServerResponse, callback: () => void): void {
    if (this.pending.has(response)) this.#onSettled.set(response, callback);
    else callback();
  }

  /** Resolves once the request may run, or its answer can't be sent any more. */
  takeTurn(response: ServerResponse): Promise<void> {
    if (!this.pending.has(response)) return Promise.resolve();
    return new Promise((resolve) => {
      this.#waiting.set(response, resolve);
      this.#startNext();
    });
  }

  #startNext(): void {
    const next = this.#waiting.entries().next().value;
    if (!next || this.#running.size >= MAX_CONCURRENT_REQUESTS) return;
    const [response, start] = next;
    this.#waiting.delete(response);
    this.#running.add(response);
    start();
  }

  /**
   * Closes the connection after an answer that announces it: the last pending one, or
   * that of the next request. Requests behind that one are not accepted: a caller that
   * always has a request under way would never learn of the close otherwise.
   */
  announceClose(): void {
    this.#closing = true;
    const last = this.#lastPending();
    // The head of an answer that waits for those before it may be written already.
    if (last?.headersSent === false) this.#lastAnswer ??= last;
  }

  /** Closes the connection after the pending answers; accepts no further request. */
  closeAfterPending(): void {
    this.#lastAnswer ??= this.#lastPending();
    if (this.#lastAnswer === undefined) this.end();
  }

  /**
   * Drops what the caller still sends, unparsed: the parser would keep each request in
   * memory. The caller's close is still noticed.
   */
  discardInput(): void {
    if (this.#discardsInput) return;
    this.#discardsInput = true;
    this.#socket.removeAllListeners("data");
    this.#socket.on("data", () => {});
    // The parser, left within a request, takes the caller's close for a fault.
    this.#socket.once("end", () => this.#socket.end());
    this.#socket.resume();
  }

  /** Reads nothing until {@link resumeInput}. */
  pauseInput(): void {
    this.#isPaused = true;
    this.#socket.pause();
  }

  /** True between {@link pauseInput} and {@link resumeInput}, while it is open. */
  get isPaused(): boolean {
    return this.#isPaused && !this.#socket.destroyed;
  }

  /** Goes on reading. */
  resumeInput(): void {
    this.#isPaused = false;
    this.#socket.resume();
  }

  /** Bytes that were read lately; older ones count less. */
  recentBytes(nowMillis: number): number {
    const { bytesRead } = this.#socket;
    const { weightedBytes, readBytes, atMillis } = this.#recent;
    const weight = 0.5 ** ((nowMillis - atMillis) / RECENT_HALF_LIFE_MILLIS);
    this.#recent = {
      weightedBytes: weightedBytes * weight + bytesRead - readBytes,
      readBytes: bytesRead,
      atMillis: nowMillis,
    };
    return this.#recent.weightedBytes;
  }

  /** Records that a piece of a body was read. */
  recordPiece(): void {
    this.#parsedBytes = this.#socket.bytesRead;
  }

  /** Size of a head, or of the trailers of a body, that are not complete yet. */
  get unparsedBytes(): number {
    if (this.#discardsInput) return 0;
    return this.#socket.bytesRead - this.#parsedBytes;
  }

  /**
   * Time for which the entry has waited for the caller to send the rest of a request or
   * to read an answer; 0 if it doesn't. Called periodically.
   */
  waitedForCallerMillis(nowMillis: number): number {
    const unsentBytes = this.#socket.writableLength;
    const isWaiting = unsentBytes > 0 || this.incomplete !== undefined ||
      this.unparsedBytes > 0;
    const newBytes = this.#socket.bytesRead - this.#progress.readBytes;
    if (
      !isWaiting || newBytes >= MIN_PROGRESS_BYTES ||
      unsentBytes !== this.#progress.unsentBytes
    ) {
      this.recordProgress(nowMillis);
    }
    return nowMillis - this.#progress.atMillis;
  }

  /** Starts the time for which the entry waits for the caller anew. */
  recordProgress(nowMillis: number): void {
    this.#progress = {
      readBytes: this.#socket.bytesRead,
      unsentBytes: this.#socket.writableLength,
      atMillis: nowMillis,
    };
  }

  /** True if a part of a head was read, and nothing of its request is answered. */
  get hasPartialHead(): boolean {
    return this.unparsedBytes > 0 && this.#latest?.request.complete !== false;
  }

  /** True if the caller has to read before more can be sent. */
  get hasUnsentAnswer(): boolean {
    return this.#socket.writableLength > 0;
  }

  /** Closes the connection at once, so that no answer can look complete. */
  reset(): void {
    this.#socket.resetAndDestroy();
  }

  #lastPending(): ServerResponse | undefined {
    return [...this.pending].at(-1);
  }

  /** True if the answer has to announce the close of the connection. */
  isLastAnswer(response: ServerResponse): boolean {
    return response === this.#lastAnswer;
  }

  /** The request whose body is still being read, with its answer; undefined if there is none. */
  get incomplete(): {
    request: IncomingMessage;
    response: ServerResponse;
  } | undefined {
    const latest = this.#latest;
    if (
      latest === undefined || latest.request.complete ||
      latest.response.writableEnded
    ) return undefined;
    return this.pending.has(latest.response) ? latest : undefined;
  }

  /** True if one whole request was read, and is not answered yet. */
  get waitsForAnswer(): boolean {
    return this.pending.size === 1 && this.incomplete === undefined;
  }

  /** True unless all requests are answered and no other one is on its way. */
  isBusy(nowMillis: number): boolean {
    if (this.pending.size > 0) return true;
    if (this.#socket.writableEnded) return false;
    if (this.#socket.bytesRead === this.#requestBytes) return false;
    this.#arrivingSinceMillis ??= nowMillis;
    return nowMillis - this.#arrivingSinceMillis < REQUEST_ARRIVAL_MILLIS;
  }

  /**
   * Closes the connection once everything is written. What the caller still sends is
   * read and dropped: a close with unread bytes would reset the connection, and answers
   * on their way would be lost.
   */
  end(): void {
    const socket = this.#socket;
    if (socket.writableEnded) return;
    socket.end();
    this.discardInput();
    const timer = setTimeout(() => socket.destroy(), LINGER_MILLIS);
    timer.unref();
    socket.once("close", () => clearTimeout(timer));
  }

  #settle(response: ServerResponse): void {
    this.pending.delete(response);
    const callback = this.#onSettled.get(response);
    this.#onSettled.delete(response);
    callback?.();
    this.#running.delete(response);
    this.#waiting.get(response)?.();
    this.#waiting.delete(response);
    this.#startNext();
  }

  #recordRead(): void {
    this.#requestBytes = this.#socket.bytesRead;
    this.#parsedBytes = this.#requestBytes;
    this.#arrivingSinceMillis = undefined;
  }
}
