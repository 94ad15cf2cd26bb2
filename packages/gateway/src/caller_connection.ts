/**
 * One connection of a caller: its incomplete answers, whether another request may be
 * on its way, and how it is closed.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { CallerProgress } from "./caller_progress.ts";
import type { MemoryAmount, MemoryShare } from "./memory_budget.ts";
import { ANSWERED_REQUEST_COST } from "./memory_costs.ts";
import { ReadingCost } from "./reading_cost.ts";
import { RECEIVE_WINDOW_BYTES, ReceiveWindow } from "./receive_window.ts";
import { pollSockets } from "./stall_monitor.ts";

/** Maximum time until the first request on a new connection, or the rest of a request. */
const REQUEST_ARRIVAL_MILLIS = 1000;
/**
 * Pipelined requests that run at the same time. Their answers wait in memory for those
 * before them, also while the caller reads nothing.
 */
const MAX_CONCURRENT_REQUESTS = 16;
/** How long a caller may send nothing after the last answer before it is closed. */
const LINGER_MILLIS = 1000;
/** How long a caller may take to close its side after the last answer. */
const MAX_LINGER_MILLIS = 5000;

/**
 * Requests behind the last one that is answered after which the connection is reset
 * where memory is short: they would stay in memory until then.
 */
const MAX_DROPPED_REQUESTS = 256;

/** Why the requests of a connection are refused. */
export type Lack = "no-memory" | "no-descriptor" | "no-time";

/** Options of {@link CallerConnection}. */
export interface CallerConnectionOptions {
  /** Memory that the connection takes; closed with it. */
  memory: MemoryShare;
  /** Why its requests are refused; undefined for a connection that is served. */
  lack?: Lack;
}

/** What Node.js keeps on a socket of its HTTP server without documenting it. */
interface ServerSocket extends Socket {
  _unrefTimer: () => void;
  parser: {
    _headers: string[];
    /** Time since the current message began; 0 between messages. */
    duration: () => number;
    headersCompleted: () => boolean;
  } | null;
}

/** Connection of a caller. */
export class CallerConnection {
  /** Incomplete answers, in the order of their requests. */
  readonly pending = new Set<ServerResponse>();
  /** Why the requests of this connection are refused; undefined if they are served. */
  readonly lack: Lack | undefined;
  /** What counts as held for a head or trailers that are not complete. */
  countedPart: MemoryAmount = { heapBytes: 0, bufferBytes: 0 };
  /** What counts as sent by the caller and not read yet. */
  countedUnreadBytes = 0;
  readonly window = new ReceiveWindow();
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
  #pausedAtMillis = Infinity;
  #discardsInput = false;
  #droppedCount = 0;
  /** The answer that announces the close; undefined until there is one. */
  #lastAnswer: ServerResponse | undefined;
  /** The request whose head was read last, with its answer. */
  #latest: { request: IncomingMessage; response: ServerResponse } | undefined;
  readonly #cost = new ReadingCost();
  readonly #progress = new CallerProgress();

  constructor(socket: Socket, options: CallerConnectionOptions) {
    this.#socket = socket;
    this.#memory = options.memory;
    this.lack = options.lack;
    socket.on("resume", () => this.#keepPaused());
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
    request.once("end", () => {
      this.#recordRead();
      // No target is sent them.
      request.rawTrailers = [];
      if (!this.pending.has(response)) this.#forget(response);
    });
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
    const { parser } = this.#socket as ServerSocket;
    // It would keep a head that is not complete until the connection is closed.
    if (parser) parser._headers = [];
    this.#socket.removeAllListeners("data");
    this.#socket.on("data", () => {});
    // The parser, left within a request, takes the caller's close for a fault.
    this.#socket.once("end", () => this.#socket.end());
    this.#pausedAtMillis = Infinity;
    this.#socket.resume();
    // The HTTP server has stopped the handle in a pause, and starts it no more.
    if (!this.#socket.destroyed) this.#socket._read(0);
  }

  /**
   * Calls `callback` after each read. The parser reads from the handle itself, without an
   * event, and then restarts the idle timer of the socket.
   */
  onRead(callback: () => void): void {
    const socket = this.#socket as ServerSocket;
    const restartTimer = socket._unrefTimer;
    socket._unrefTimer = () => {
      restartTimer.call(socket);
      callback();
    };
  }

  /** Reads nothing until {@link resumeInput}. */
  pauseInput(): void {
    if (!this.isPaused) this.#pausedAtMillis = performance.now();
    this.#socket.pause();
  }

  /**
   * Stops the handle again after a resume that Node.js carries out only at the end of
   * the tick: the pause that followed it meanwhile would be ignored.
   */
  #keepPaused(): void {
    if (!this.isPaused) return;
    this.#socket.pause();
    // The HTTP server stops the handle on this; a socket that is paused emits none.
    this.#socket.emit("pause");
  }

  /** True between {@link pauseInput} and {@link resumeInput}, while it is open. */
  get isPaused(): boolean {
    return this.#pausedAtMillis < Infinity && !this.#socket.destroyed;
  }

  /** Time since {@link pauseInput}; 0 if it is read. */
  get pausedMillis(): number {
    return this.isPaused ? performance.now() - this.#pausedAtMillis : 0;
  }

  /** Goes on reading. */
  resumeInput(): void {
    // What the caller sent in the pause arrives only now.
    if (this.isPaused && this.#arrivingSinceMillis !== undefined) {
      this.#arrivingSinceMillis = performance.now();
    }
    this.#pausedAtMillis = Infinity;
    this.#socket.resume();
  }

  /** Records the time that was spent on something that was read. */
  recordCost(millis: number): void {
    this.#cost.record(millis);
  }

  /** Time that was spent on what was read lately; older times count less. */
  recentCostMillis(nowMillis: number): number {
    return this.#cost.recentMillis(nowMillis, this.#socket.bytesRead);
  }

  /** Records that a piece of a body was read. */
  recordPiece(): void {
    this.#parsedBytes = this.#socket.bytesRead;
  }

  /** Names and values of such a head or trailers that the parser holds. */
  get heldTexts(): number {
    return (this.#socket as ServerSocket).parser?._headers.length ?? 0;
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
    const isWaiting = this.hasUnsentAnswer || this.incomplete !== undefined ||
      this.unparsedBytes > 0;
    if (!isWaiting) this.recordProgress(nowMillis);
    return this.#progress.waitedMillis(nowMillis, this.#socket);
  }

  /** Starts the time for which the entry waits for the caller anew. */
  recordProgress(nowMillis: number): void {
    this.#progress.record(nowMillis, this.#socket);
  }

  /** True if all requests are answered, and nothing of another one was read. */
  get isIdle(): boolean {
    return this.#requestBytes !== undefined && this.pending.size === 0 &&
      !this.hasPartialHead && !this.isPaused && !this.isEnded;
  }

  /** True if a part of a head was read, and nothing of its request is answered. */
  get hasPartialHead(): boolean {
    return this.unparsedBytes > 0 && this.#latest?.request.complete !== false ||
      this.#isWithinNextHead;
  }

  /** True if a head began behind a request, perhaps in the same read. */
  get #isWithinNextHead(): boolean {
    const { parser } = this.#socket as ServerSocket;
    if (this.#requestBytes === undefined || !parser) return false;
    return parser.duration() > 0 && !parser.headersCompleted();
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

  /** True if it closes, and accepts no further request. */
  get isEnded(): boolean {
    return this.#socket.writableEnded;
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

  /** The most that its caller may have sent and was not read yet. */
  get maxUnreadBytes(): number {
    // One that idles, or waits for one answer, sends little at a time, or has a window
    // that was widened before.
    return this.window.bytes - (this.#isSender ? 0 : RECEIVE_WINDOW_BYTES);
  }

  /** True if its caller may have sent what was not read yet. */
  get #isSender(): boolean {
    if (this.#discardsInput || this.unparsedBytes > 0) return true;
    if (this.pending.size > 1 || this.incomplete !== undefined) return true;
    // One that has been read for a while without a byte is idle.
    const arrivingMillis = performance.now() -
      (this.#arrivingSinceMillis ?? -Infinity);
    return this.#requestBytes === undefined &&
      (this.isPaused || arrivingMillis < REQUEST_ARRIVAL_MILLIS);
  }

  /** True unless all requests are answered and no other one is on its way. */
  isBusy(nowMillis: number): boolean {
    if (this.pending.size > 0) return true;
    if (this.#socket.writableEnded) return false;
    if (this.isPaused) return true;
    const isQuiet = this.#socket.bytesRead === this.#requestBytes;
    if (isQuiet && !this.#isWithinNextHead) return false;
    this.#arrivingSinceMillis ??= nowMillis;
    return nowMillis - this.#arrivingSinceMillis < REQUEST_ARRIVAL_MILLIS;
  }

  /**
   * Closes the connection once everything is written. What the caller still sends is
   * read and dropped: bytes that come later would reset the connection, and answers
   * on their way would be lost.
   */
  end(): void {
    const socket = this.#socket;
    if (socket.writableEnded) return;
    socket.end();
    this.discardInput();
    this.resumeInput();
    this.#linger();
  }

  /** Destroys the socket once its caller sends nothing more, or has taken too long. */
  #linger(): void {
    const socket = this.#socket;
    const endMillis = performance.now() + MAX_LINGER_MILLIS;
    let { bytesRead } = socket;
    const timer = setInterval(async () => {
      // What arrived while the process stood still is not read yet.
      await pollSockets();
      const isQuiet = socket.writableFinished && socket.bytesRead === bytesRead;
      bytesRead = socket.bytesRead;
      if (isQuiet || performance.now() >= endMillis) socket.destroy();
    }, LINGER_MILLIS);
    timer.unref();
    socket.once("finish", () => timer.refresh());
    socket.once("close", () => clearInterval(timer));
  }

  /** An idle connection would keep the body of its last request in memory. */
  #forget(response: ServerResponse): void {
    if (this.#latest?.response === response) this.#latest = undefined;
  }

  #settle(response: ServerResponse): void {
    this.pending.delete(response);
    if (response.req.complete) this.#forget(response);
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
