/**
 * Shares the time of the event loop among the answers of targets and other entries. In
 * each of its turns Node.js reads all sockets that have data, and a few answers whose
 * bytes take long to parse would keep everyone else waiting. Sockets are read in small
 * pieces; once those of a turn have taken too long, the others wait for later turns.
 * Answers that brought little and those that were asked for first are read in turn: all
 * of them side by side would all be late.
 *
 * A socket is not read while a piece of it waits, so that its end or reset is noticed
 * only after all that came before.
 */
import process from "node:process";
import type { OnReadOpts, Socket } from "node:net";
import type { MemoryBudget } from "./memory_budget.ts";
import { ORDINARY_ANSWER_BYTES } from "./memory_costs.ts";
import {
  MAX_GROWN_LOAD,
  RECEIVE_WINDOW_BYTES,
  ReceiveWindow,
} from "./receive_window.ts";

/** Size of a piece. */
const PIECE_BYTES = 4096;
/** Size of the pieces of a long answer that takes little time. */
const LARGE_PIECE_BYTES = 32_768;
/** Maximum time for parsing a piece of such an answer. */
const MAX_CHEAP_MILLIS = 0.2;
/** Size up to which an answer counts as small. */
const SMALL_BYTES = 4096;
/** Time in which pieces are read in one turn of the event loop. */
const MAX_READ_MILLIS = 10;

/** What all sockets are read to; it is copied before the next read. */
const pieceBuffer = Buffer.allocUnsafeSlow(PIECE_BYTES);
const largePieceBuffer = Buffer.allocUnsafeSlow(LARGE_PIECE_BYTES);

/** Options of {@link AnswerPacer}. */
export interface AnswerPacerOptions {
  memory: MemoryBudget;
}

/** Decides when the answers on the connections of one process are read. */
export class AnswerPacer {
  readonly memory: MemoryBudget;
  /** Connections with a piece that waits, the longest wait first. */
  readonly #waiting = new Set<PacedConnection>();
  /** Time for reading pieces in this turn. */
  #readMillis = 0;
  #startedAtMillis = 0;
  /** The connection whose piece is parsed in this tick. */
  #parsed: PacedConnection | undefined;
  /** True if the end of the turn is awaited. */
  #isTurnOpen = false;

  constructor({ memory }: AnswerPacerOptions) {
    this.memory = memory;
  }

  /** Reads a piece now or in a later turn; returns false if its socket has to wait. */
  read(connection: PacedConnection): boolean {
    this.#awaitTurn();
    if (this.#waiting.size > 0 || this.#readMillis >= MAX_READ_MILLIS) {
      this.#waiting.add(connection);
      return false;
    }
    return this.#parse(connection);
  }

  /** Drops the piece of a connection that was closed. */
  forget(connection: PacedConnection): void {
    this.#waiting.delete(connection);
  }

  #awaitTurn(): void {
    if (this.#isTurnOpen) return;
    this.#isTurnOpen = true;
    setImmediate(() => this.#startTurn());
  }

  async #startTurn(): Promise<void> {
    this.#isTurnOpen = false;
    this.#readMillis = 0;
    if (this.#waiting.size === 0) return;
    for (const connection of this.#inOrder()) {
      if (this.#readMillis >= MAX_READ_MILLIS) break;
      // It may have been read already, or closed.
      if (!this.#waiting.delete(connection)) continue;
      this.#parse(connection);
      await untilParsed();
    }
    this.#awaitTurn();
  }

  *#inOrder(): Generator<PacedConnection> {
    const waiting = [...this.#waiting];
    const small = waiting.filter(({ bytes }) => bytes <= SMALL_BYTES)
      .sort((a, b) => a.bytes - b.bytes);
    waiting.sort((a, b) => a.dueAtMillis - b.dueAtMillis);
    for (const [i, oldest] of waiting.entries()) {
      if (i < small.length) yield small[i];
      yield oldest;
    }
  }

  /** Hands a piece to the parser, which runs at the end of this tick. */
  #parse(connection: PacedConnection): boolean {
    this.#startedAtMillis = performance.now();
    this.#parsed = connection;
    const hasRoom = connection.deliver();
    process.nextTick(this.#recordParsed);
    return hasRoom;
  }

  readonly #recordParsed = () => {
    const tookMillis = performance.now() - this.#startedAtMillis;
    this.#readMillis += tookMillis;
    this.#parsed?.recordParsed(tookMillis);
    this.#parsed = undefined;
  };
}

/** Resolves once the parser has run, and all that it started in the same tick. */
function untilParsed(): Promise<void> {
  return new Promise((resolve) => process.nextTick(resolve));
}

/** Options of a socket that concern how it is read. */
export interface SocketReadOptions {
  onread: OnReadOpts;
  /** Undefined, so that the other one counts. */
  highWaterMark: undefined;
  readableHighWaterMark: number;
}

/** The socket of one connection, which is read in pieces. */
export class PacedConnection {
  readonly #pacer: AnswerPacer;
  #socket: Socket | undefined;
  /** What was read from the socket, and not yet by the parser. */
  #piece: Buffer | undefined;
  /** True if more may follow what was read last. */
  #isLong = false;
  /** True if the last piece took little time. */
  #isCheap = true;
  /** Size of the current answer as far as it was read from the socket. */
  bytes = 0;
  /**
   * When the current answer was asked for, and the time that it has taken since, so that
   * an answer without end doesn't stay first.
   */
  dueAtMillis = 0;
  readonly #window = new ReceiveWindow();
  #isAwaited = false;
  /** What counts as sent by the target and not read. */
  #unreadBytes = 0;

  constructor(pacer: AnswerPacer) {
    this.#pacer = pacer;
  }

  /** Options of the socket. */
  get options(): SocketReadOptions {
    const onread: OnReadOpts = {
      // The buffer of the next read.
      buffer: () =>
        this.#isLong && this.#isCheap ? largePieceBuffer : pieceBuffer,
      callback: (bytes, buffer) => {
        this.bytes += bytes;
        this.#isLong = bytes === buffer.byteLength;
        this.#window.recordRead(this.#socket?.bytesRead ?? 0);
        this.#countUnread();
        this.#keep(buffer.subarray(0, bytes));
        return this.#pacer.read(this);
      },
    };
    return {
      onread,
      highWaterMark: undefined,
      // What its stream holds is parsed at once when reading goes on after a pause.
      readableHighWaterMark: PIECE_BYTES,
    };
  }

  /** Copies what was read; the buffer belongs to all connections. */
  #keep(bytes: Uint8Array): void {
    this.#piece = this.#piece === undefined
      ? Buffer.from(bytes)
      : Buffer.concat([this.#piece, bytes]);
  }

  watch(socket: Socket): void {
    this.#socket = socket;
    socket.once("close", () => {
      this.#pacer.forget(this);
      this.#countUnread();
    });
  }

  /** True if the system may hold much of it, and there is little memory for that. */
  get hasLargeWindow(): boolean {
    return this.#window.isGrown &&
      this.#pacer.memory.unreadLoad >= MAX_GROWN_LOAD;
  }

  /**
   * Counts what the target may have sent and was not read. More than an ordinary answer
   * may come until a large one is complete.
   */
  #countUnread(): void {
    const { memory } = this.#pacer;
    const isLarge = this.bytes > ORDINARY_ANSWER_BYTES;
    const unreadBytes = this.#isAwaited && !this.#socket?.destroyed
      ? this.#window.bytes - (isLarge ? 0 : RECEIVE_WINDOW_BYTES)
      : 0;
    memory.unreadBytes += unreadBytes - this.#unreadBytes;
    this.#unreadBytes = unreadBytes;
  }

  /** Records that another answer is asked for. */
  startAnswer(): void {
    this.dueAtMillis = performance.now();
    this.bytes = 0;
    this.#isAwaited = true;
    this.#countUnread();
  }

  /** Records that the current answer is complete, or not read any more. */
  answerEnded(): void {
    this.#isAwaited = false;
    this.#countUnread();
  }

  /** Records how long a piece took to parse. */
  recordParsed(tookMillis: number): void {
    this.dueAtMillis += tookMillis;
    this.#isCheap = tookMillis <= MAX_CHEAP_MILLIS;
  }

  /** Hands the piece to the stream; returns false if the stream is full. */
  deliver(): boolean {
    const piece = this.#piece;
    this.#piece = undefined;
    const socket = this.#socket;
    if (piece === undefined || socket === undefined || socket.destroyed) {
      return false;
    }
    return socket.push(piece);
  }
}
