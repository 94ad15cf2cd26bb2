/**
 * Pool of connections to one target. Each connection carries one request at a
 * time. The most recently used idle one is reused first, so that few stay open.
 * A connection whose request got no answer is never reused; when a request
 * expires, connections that were idle since before its send are closed too.
 *
 * No connection carries two requests with the same id: a target may send an answer
 * again later, and only the id tells such a copy from the answer that is due.
 */
import { connect, type Socket } from "node:net";
import { buildConnector, Client } from "undici";
import { type AnswerPacer, PacedConnection } from "./answer_pacer.ts";
import type { DescriptorBudget } from "./descriptor_budget.ts";

/** Timeout for a new connection; links between regions take a tenth of it. */
const CONNECT_TIMEOUT_MILLIS = 1000;
/** Idle timeout of connections to a target that announces none. */
const IDLE_TIMEOUT_MILLIS = 4000;
/**
 * Connections are closed this long before the target's own idle timeout, so
 * that no request crosses the target's close.
 */
const IDLE_TIMEOUT_MARGIN_MILLIS = 2000;
/**
 * Once an idle connection proved dead, others are reused only up to this part
 * of its idle time: the target may close the next one sooner.
 */
const REDUCED_IDLE_FACTOR = 0.5;
/**
 * How long the idle limit of a target stays reduced after an idle connection
 * proved dead: a few idle timeouts.
 */
const REDUCED_IDLE_PERIOD_MILLIS = 10_000;
/**
 * How long after a surplus answer a target's connections are closed once they carried
 * a refusal, since copies of it may follow in place of later answers.
 */
const SURPLUS_PERIOD_MILLIS = 10_000;
/** Requests after which a connection is closed; bounds the memory for their ids. */
const MAX_REQUESTS_PER_CONNECTION = 256;
/** Size of the ids of its requests after which a connection is closed. */
const MAX_ID_CHARACTERS = 16_384;
/**
 * Idle connections that are kept although none of them may carry the next request; they
 * would add up while the same request comes again and again.
 */
const MAX_UNUSABLE_IDLE = 3;
/** Bytes around the contents of a chunk, besides its size: two ends of lines. */
const CHUNK_FRAME_BYTES = 4;
/** Timeout of the check whether a target's port is closed. */
const PORT_CHECK_TIMEOUT_MILLIS = 300;

/**
 * Bytes that a target may send until the head of an answer, or its trailers, are
 * complete. The parser bounds the size of the headers, but not a status line,
 * informational answers or blank lines.
 */
const MAX_FIELDS_BYTES = 65_536;

/**
 * Takes memory for as many bytes of a head or of trailers that are not complete, in place
 * of what it took before; returns false if there is not enough.
 */
export type ReserveFields = (bytes: number) => boolean;

/**
 * Distinguishes a clean close of a connection from a reset. When a reset
 * arrives together with the last bytes, Node reports a plain end; a write then
 * fails at once, while it still succeeds after a clean close. HTTP servers
 * ignore the empty line that is written.
 */
class CloseProbe {
  readonly result: Promise<boolean>;
  #resolve!: (clean: boolean) => void;
  #armed = false;

  constructor() {
    this.result = new Promise((resolve) => this.#resolve = resolve);
  }

  arm(): void {
    this.#armed = true;
  }

  watch(socket: Socket): void {
    socket.prependListener("error", () => this.#resolve(false));
    socket.prependListener("end", () => {
      if (!this.#armed) return;
      socket.write("\r\n", (error) => this.#resolve(!error));
    });
  }
}

/**
 * Closes a connection whose target sends too much before the head of an answer, or its
 * trailers, are complete, or more than there is memory for.
 */
class FieldsGuard {
  #socket: Socket | undefined;
  /**
   * Bytes of the connection up to the end of the last complete part of the answer;
   * undefined if no answer is expected.
   */
  #knownBytes: number | undefined;
  #reserve: ReserveFields = () => true;

  watch(socket: Socket): void {
    this.#socket = socket;
    socket.prependListener("readable", () => {
      // The parser reads what is new after this.
      if (this.#knownBytes !== undefined) queueMicrotask(() => this.#check());
    });
  }

  expectAnswer(reserve: ReserveFields): void {
    this.#knownBytes = this.#socket ? bytesParsed(this.#socket) : 0;
    this.#reserve = reserve;
  }

  recordPart(bytes: number): void {
    if (this.#knownBytes !== undefined) this.#knownBytes += bytes;
  }

  answerEnded(): void {
    this.#knownBytes = undefined;
    // It holds the request with its body.
    this.#reserve = () => true;
  }

  #check(): void {
    const socket = this.#socket;
    if (socket === undefined || this.#knownBytes === undefined) return;
    const bytes = bytesParsed(socket) - this.#knownBytes;
    if (bytes > MAX_FIELDS_BYTES) {
      socket.destroy(new Error("head of the answer is too long"));
    } else if (!this.#reserve(bytes)) {
      socket.destroy(new Error("no memory for the head of the answer"));
    }
  }
}

function bytesParsed(socket: Socket): number {
  return socket.bytesRead - socket.readableLength;
}

/**
 * Stops and resumes reading from a connection while a caller reads more slowly than the
 * target sends. The parser of undici can be paused too, but fails an assertion outside
 * of any callback if the connection ends meanwhile.
 */
class ReadingPause {
  #socket: Socket | undefined;
  #listeners: (() => void)[] = [];
  #paused = false;

  watch(socket: Socket): void {
    this.#socket = socket;
  }

  /** Returns false if reading is paused already. */
  pause(): boolean {
    const socket = this.#socket;
    if (socket === undefined || this.#paused) return false;
    this.#paused = true;
    // Without listeners the socket's buffer fills up, and then the target's window.
    this.#listeners = socket.listeners("readable") as (() => void)[];
    socket.removeAllListeners("readable");
    return true;
  }

  resume(): void {
    if (!this.#paused) return;
    this.#paused = false;
    for (const listener of this.#listeners) {
      this.#socket?.on("readable", listener);
    }
  }
}

/** One connection with its state. */
export class TargetConnection {
  readonly client: Client;
  /** True once the connection was established, also after it was closed. */
  connected = false;
  lastUsedAtMillis = 0;
  /** Idle time before the current request; 0 for the first request. */
  idleBeforeMillis = 0;
  readonly #closeProbe = new CloseProbe();
  readonly #fieldsGuard = new FieldsGuard();
  readonly #readingPause = new ReadingPause();
  readonly #paced: PacedConnection;
  /** True once the target refused a request on this connection. */
  carriedRefusal = false;
  readonly #requestIds = new Set<string>();
  #idCharacters = 0;

  constructor(
    address: string,
    options: {
      pacer: AnswerPacer;
      onClosed: () => void;
      onConnected: () => void;
    },
  ) {
    this.#paced = new PacedConnection(options.pacer);
    const connectTarget = buildConnector({
      timeout: CONNECT_TIMEOUT_MILLIS,
      ...this.#paced.options,
    });
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: (target, done) =>
        connectTarget(target, (error, socket) => {
          if (error) return done(error, null);
          this.#closeProbe.watch(socket);
          this.#fieldsGuard.watch(socket);
          this.#readingPause.watch(socket);
          this.#paced.watch(socket);
          done(null, socket);
        }),
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT_MILLIS,
      keepAliveTimeoutThreshold: IDLE_TIMEOUT_MARGIN_MILLIS,
    });
    this.client.on("connect", () => {
      this.connected = true;
      options.onConnected();
    });
    this.client.on("disconnect", options.onClosed);
    this.client.on("connectionError", options.onClosed);
  }

  /** True if the connection carried a request before the current one. */
  get isReused(): boolean {
    return this.lastUsedAtMillis > 0;
  }

  /** Requests that the connection has carried, with the current one. */
  get requestCount(): number {
    return this.#requestIds.size;
  }

  /** True if the connection has to be closed after its current request. */
  get isWorn(): boolean {
    return this.#paced.hasLargeWindow ||
      this.requestCount >= MAX_REQUESTS_PER_CONNECTION ||
      this.#idCharacters >= MAX_ID_CHARACTERS;
  }

  /**
   * True if the answer to a request with this id can be told from copies of earlier
   * answers. Answers to requests without an id name none.
   */
  mayCarry(requestId: string): boolean {
    return requestId === "" ? !this.isReused : !this.#requestIds.has(requestId);
  }

  /** Records the request that the connection is about to carry. */
  recordRequest(requestId: string): void {
    this.#requestIds.add(requestId);
    this.#idCharacters += requestId.length;
  }

  /** Announces that a request is sent, so that the fields of its answer are bounded. */
  expectAnswer(reserve: ReserveFields): void {
    this.#fieldsGuard.expectAnswer(reserve);
    this.#paced.startAnswer();
  }

  /** Records that a head of about this size is complete. */
  headReceived(bytes: number): void {
    this.#fieldsGuard.recordPart(bytes);
  }

  /** Records contents of the answer, which may be a chunk. */
  contentsReceived(bytes: number): void {
    this.#fieldsGuard.recordPart(
      bytes + bytes.toString(16).length + CHUNK_FRAME_BYTES,
    );
  }

  answerEnded(): void {
    this.#fieldsGuard.answerEnded();
    this.#paced.answerEnded();
  }

  /** Stops reading the current answer; returns false if that is the case already. */
  pauseReading(): boolean {
    return this.#readingPause.pause();
  }

  resumeReading(): void {
    this.#readingPause.resume();
  }

  /**
   * Announces that the current answer ends with the connection, so that its
   * close is checked.
   */
  expectClose(): void {
    this.#closeProbe.arm();
  }

  /** Resolves to true if the connection was closed cleanly, to false if it was reset. */
  closedCleanly(): Promise<boolean> {
    return this.#closeProbe.result;
  }

  close(): void {
    this.client.destroy().catch(() => {
      // The connection was closed already.
    });
  }
}

/** All connections of this entry to one target. */
export class TargetConnections {
  readonly #address: string;
  readonly #idle: TargetConnection[] = [];
  /** Connections that are no longer part of the open count. */
  readonly #removed = new WeakSet<TargetConnection>();
  readonly #onConnected: (tookMillis: number) => void;
  readonly #descriptors: DescriptorBudget;
  readonly #pacer: AnswerPacer;
  #open = 0;
  /** Maximum idle time of a reused connection, until `#idleLimitEndsAtMillis`. */
  #idleLimitMillis = Infinity;
  #idleLimitEndsAtMillis = -Infinity;
  #surplusEndsAtMillis = -Infinity;

  constructor(
    address: string,
    options: {
      descriptors: DescriptorBudget;
      pacer: AnswerPacer;
      onConnected: (tookMillis: number) => void;
    },
  ) {
    this.#address = address;
    this.#descriptors = options.descriptors;
    this.#pacer = options.pacer;
    this.#onConnected = options.onConnected;
  }

  get open(): number {
    return this.#open;
  }

  /**
   * Returns a connection for a request: an idle one, or a new one that connects with
   * its first request.
   */
  acquire(requestId: string, nowMillis: number): TargetConnection {
    const connection = this.#takeIdle(requestId, nowMillis) ??
      this.#create(nowMillis);
    connection.recordRequest(requestId);
    return connection;
  }

  /** Records that the target sent an answer that doesn't belong to the request under way. */
  recordSurplusAnswer(nowMillis: number): void {
    this.#surplusEndsAtMillis = nowMillis + SURPLUS_PERIOD_MILLIS;
    for (const connection of [...this.#idle]) {
      if (connection.carriedRefusal) this.discard(connection);
    }
  }

  /** Records that a reused connection proved dead: other idle ones may be dead too. */
  recordStaleConnection(connection: TargetConnection, nowMillis: number): void {
    if (connection.idleBeforeMillis === 0) return;
    this.#idleLimitMillis = Math.min(
      nowMillis < this.#idleLimitEndsAtMillis
        ? this.#idleLimitMillis
        : Infinity,
      connection.idleBeforeMillis * REDUCED_IDLE_FACTOR,
    );
    this.#idleLimitEndsAtMillis = nowMillis + REDUCED_IDLE_PERIOD_MILLIS;
  }

  /** Keeps a connection for reuse, unless it was closed. */
  release(connection: TargetConnection, nowMillis: number): void {
    if (
      connection.isWorn ||
      connection.carriedRefusal && nowMillis < this.#surplusEndsAtMillis
    ) return this.discard(connection);
    connection.lastUsedAtMillis = nowMillis;
    if (connection.connected && !connection.client.destroyed) {
      this.#idle.push(connection);
    }
  }

  /** Closes a connection that must not be reused. */
  discard(connection: TargetConnection): void {
    connection.close();
    this.#remove(connection);
  }

  /** Closes idle connections last used before `millis`. */
  closeIdleUsedBefore(millis: number): void {
    for (const connection of [...this.#idle]) {
      if (connection.lastUsedAtMillis < millis) this.discard(connection);
    }
  }

  closeIdle(): void {
    for (const connection of [...this.#idle]) this.discard(connection);
  }

  #create(nowMillis: number): TargetConnection {
    if (this.#idle.length > MAX_UNUSABLE_IDLE) this.discard(this.#idle[0]);
    this.#open++;
    this.#descriptors.targetCount++;
    const connection: TargetConnection = new TargetConnection(this.#address, {
      pacer: this.#pacer,
      onClosed: () => this.#remove(connection),
      onConnected: () => this.#onConnected(performance.now() - nowMillis),
    });
    return connection;
  }

  /**
   * Takes the most recently used idle connection that may carry the request, unless it
   * was idle for too long.
   */
  #takeIdle(
    requestId: string,
    nowMillis: number,
  ): TargetConnection | undefined {
    const index = this.#idle.findLastIndex((idle) => idle.mayCarry(requestId));
    if (index < 0) return undefined;
    const connection = this.#idle[index];
    const idleMillis = nowMillis - connection.lastUsedAtMillis;
    if (
      nowMillis < this.#idleLimitEndsAtMillis &&
      idleMillis > this.#idleLimitMillis
    ) {
      // The list is in the order of last use.
      for (const idle of this.#idle.slice(0, index + 1)) this.discard(idle);
      return undefined;
    }
    this.#idle.splice(index, 1);
    connection.idleBeforeMillis = idleMillis;
    return connection;
  }

  #remove(connection: TargetConnection): void {
    const index = this.#idle.indexOf(connection);
    if (index >= 0) this.#idle.splice(index, 1);
    if (this.#removed.has(connection)) return;
    this.#removed.add(connection);
    this.#open--;
    this.#descriptors.targetCount--;
    if (!connection.client.destroyed) connection.close();
  }
}

/** Resolves to true if an address refuses connections: its process no longer runs. */
export function isConnectionRefused(address: string): Promise<boolean> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    const finish = (refused: boolean) => {
      socket.destroy();
      resolve(refused);
    };
    socket.setTimeout(PORT_CHECK_TIMEOUT_MILLIS, () => finish(false));
    socket.once("connect", () => finish(false));
    socket.once(
      "error",
      (error: NodeJS.ErrnoException) => finish(error.code === "ECONNREFUSED"),
    );
  });
}
