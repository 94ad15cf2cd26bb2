/**
 * The open connections of callers, and the memory that they hold. Once little memory is
 * left, connections that wait for their callers are closed: those whose requests or
 * answers have made no progress for the longest time.
 */
import type { Socket } from "node:net";
import type { EventLog } from "@bamboolane/logger/create_logger";
import { CallerConnection, type Lack } from "./caller_connection.ts";
import type { DescriptorBudget } from "./descriptor_budget.ts";
import type { MemoryAmount, MemoryBudget } from "./memory_budget.ts";
import { CONNECTION_COST, partialHeadCost } from "./memory_costs.ts";
import { MAX_GROWN_LOAD, RECEIVE_WINDOW_BYTES } from "./receive_window.ts";

/** Options of {@link CallerConnections}. */
export interface CallerConnectionsOptions {
  memory: MemoryBudget;
  descriptors: DescriptorBudget;
  log: EventLog;
  /** Maximum size of a head. */
  maxHeadBytes: () => number;
  /** How long a caller may take at most to send more of a request. */
  idleTimeoutMillis: () => number;
  /** Refuses the request that is being received on a connection, and closes that. */
  onShed: (socket: Socket, cause: ShedCause) => void;
  /** True if callers waited within the given time to be read. */
  hasPausedWithin: (millis: number) => boolean;
}

/** Why a connection that waits for its caller is closed. */
export type ShedCause = Lack | "caller-timeout" | "header too large";

const CHECK_INTERVAL_MILLIS = 200;
/** Checks that were missed after which the process counts as stalled. */
const STALL_CHECKS = 3;
/** Load of the memory from which waiting connections are closed. */
const SHEDDING_LOAD = 0.8;
/** Load from which new connections are closed at once, since refusals need memory too. */
const MAX_LOAD = 1.25;
/**
 * How long a caller may take at least, unless the limit is exceeded. One that has an
 * answer to read may take it unless what is held exceeds the limit: the rest of what was
 * not read is not its own.
 */
const MIN_WAIT_MILLIS = 2000;
/** Share of the waiting connections that one check closes. */
const SHED_SHARE = 1 / 4;

/** Open connections of callers. */
export class CallerConnections {
  readonly #options: CallerConnectionsOptions;
  readonly #connections = new Map<Socket, CallerConnection>();
  readonly #timer: NodeJS.Timeout;
  #checkedAtMillis = performance.now();

  constructor(options: CallerConnectionsOptions) {
    this.#options = options;
    this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MILLIS);
    this.#timer.unref();
  }

  get size(): number {
    return this.#connections.size;
  }

  get(socket: Socket): CallerConnection | undefined {
    return this.#connections.get(socket);
  }

  entries(): IterableIterator<[Socket, CallerConnection]> {
    return this.#connections.entries();
  }

  values(): IterableIterator<CallerConnection> {
    return this.#connections.values();
  }

  /**
   * Adds a new connection. Its requests are refused if there is no memory or no
   * descriptor for it; returns undefined if there is none for a refusal either.
   */
  add(socket: Socket): CallerConnection | undefined {
    const { memory, descriptors } = this.#options;
    const share = memory.open();
    // Nothing tells yet what was sent on it.
    memory.unreadBytes += RECEIVE_WINDOW_BYTES;
    const hasMemory = memory.load <= 1 && share.reserve(CONNECTION_COST);
    if (descriptors.isFull || !hasMemory && memory.heldLoad > MAX_LOAD) {
      memory.unreadBytes -= RECEIVE_WINDOW_BYTES;
      share.close();
      memory.refusalCount++;
      socket.destroy();
      return undefined;
    }
    if (!hasMemory) share.take(CONNECTION_COST);
    const connection = new CallerConnection(socket, {
      memory: share,
      lack: findLack(hasMemory, descriptors),
    });
    connection.countedUnreadBytes = RECEIVE_WINDOW_BYTES;
    descriptors.callerCount++;
    this.#connections.set(socket, connection);
    socket.once("close", () => {
      descriptors.callerCount--;
      this.#connections.delete(socket);
      this.#release(connection);
    });
    return connection;
  }

  /** Counts nothing more of a connection. */
  #release(connection: CallerConnection): void {
    this.#addPartialHead(connection, { heapBytes: 0, bufferBytes: 0 });
    this.#countUnread(connection, 0);
  }

  /** Counts what was read; refuses a head or trailers beyond the limit. */
  admitRead(socket: Socket, connection: CallerConnection): void {
    const grownBytes = connection.window.recordRead(socket.bytesRead);
    if (grownBytes > 0) {
      this.#countUnread(connection, connection.countedUnreadBytes + grownBytes);
    }
    // While it idles its caller may fill the window at any time.
    if (
      connection.window.isGrown &&
      this.#options.memory.unreadLoad >= MAX_GROWN_LOAD
    ) connection.announceClose();
    if (this.#countPartialHead(connection)) return;
    // The parser that called goes on with what it has read.
    queueMicrotask(() => {
      const { unparsedBytes } = connection;
      if (unparsedBytes === 0 || socket.destroyed) return;
      const entry = { socket, connection, waitedMillis: 0, unparsedBytes };
      this.#shed(entry, "no-memory");
    });
  }

  /** Returns false if the limit is exceeded with it. */
  #countPartialHead(connection: CallerConnection): boolean {
    const { memory } = this.#options;
    const addedBytes = this.#addPartialHead(
      connection,
      partialHeadCost(connection),
    );
    return addedBytes <= 0 || memory.load <= 1;
  }

  /** Counts the part of a head in place of what counted before; returns the added heap. */
  #addPartialHead(connection: CallerConnection, part: MemoryAmount): number {
    const { countedPart } = connection;
    const added: MemoryAmount = {
      heapBytes: part.heapBytes - countedPart.heapBytes,
      bufferBytes: part.bufferBytes - countedPart.bufferBytes,
    };
    connection.countedPart = part;
    this.#options.memory.take(added);
    return added.heapBytes;
  }

  /** Stops the checks; open connections stay. */
  stop(): void {
    clearInterval(this.#timer);
    for (const connection of this.values()) this.#release(connection);
  }

  #check(): void {
    const { memory, descriptors, idleTimeoutMillis, maxHeadBytes } =
      this.#options;
    const nowMillis = performance.now();
    const wasStalled =
      nowMillis - this.#checkedAtMillis > STALL_CHECKS * CHECK_INTERVAL_MILLIS;
    this.#checkedAtMillis = nowMillis;
    const maxUnparsedBytes = maxHeadBytes();
    const waiting: WaitingConnection[] = [];
    for (const [socket, connection] of this.#connections) {
      const { unparsedBytes } = connection;
      this.#countUnread(connection, connection.maxUnreadBytes);
      // What callers sent meanwhile has not been read yet.
      if (wasStalled) connection.recordProgress(nowMillis);
      if (unparsedBytes > maxUnparsedBytes) {
        const entry = { socket, connection, waitedMillis: 0, unparsedBytes };
        this.#shed(entry, "header too large");
        continue;
      }
      this.#countPartialHead(connection);
      const waitedMillis = connection.waitedForCallerMillis(nowMillis);
      if (waitedMillis > 0 || unparsedBytes > 0) {
        waiting.push({ socket, connection, waitedMillis, unparsedBytes });
      }
    }
    if (memory.unreadLoad > 1) this.#closeGrown();
    const maxWaitMillis = idleTimeoutMillis();
    const lacksDescriptors = !descriptors.hasRoomForCaller;
    const isScarce = memory.load >= SHEDDING_LOAD || memory.suspended ||
      lacksDescriptors;
    if (!isScarce) {
      const cause = this.#options.hasPausedWithin(maxWaitMillis)
        ? "no-time"
        : "caller-timeout";
      for (const entry of waiting) {
        // Only large pieces of an answer show whether its caller reads.
        const isSlow = entry.waitedMillis >= maxWaitMillis;
        if (isSlow && !entry.connection.hasUnsentAnswer) {
          this.#shed(entry, cause);
        }
      }
      return;
    }
    const isHeldOver = memory.heldLoad > 1 || memory.suspended;
    const isOver = isHeldOver || memory.load > 1;
    waiting.sort((a, b) =>
      isOver
        ? b.unparsedBytes - a.unparsedBytes || b.waitedMillis - a.waitedMillis
        : b.waitedMillis - a.waitedMillis
    );
    const maxCount = Math.ceil(waiting.length * SHED_SHARE);
    const overdue = waiting.filter(({ connection, waitedMillis }) =>
      waitedMillis >= MIN_WAIT_MILLIS ||
      (connection.hasUnsentAnswer ? isHeldOver : isOver)
    );
    for (const entry of overdue.slice(0, maxCount)) {
      const lacksMemory = memory.load >= SHEDDING_LOAD || memory.suspended;
      if (!lacksMemory && !lacksDescriptors) return;
      if (!lacksMemory && entry.connection.hasUnsentAnswer) continue;
      this.#shed(entry, lacksMemory ? "no-memory" : "no-descriptor");
    }
  }

  /** Closes idle connections with the largest windows: their room is needed. */
  #closeGrown(): void {
    const idle = [...this.values()]
      .filter(({ window, isIdle }) => window.isGrown && isIdle)
      .sort((a, b) => b.window.bytes - a.window.bytes);
    const closed = idle.slice(0, Math.ceil(idle.length * SHED_SHARE));
    if (closed.length === 0) return;
    for (const connection of closed) connection.end();
    const { memory, log } = this.#options;
    log.warn("idle_callers_closed", {
      closed: closed.length,
      idle: idle.length,
      unreadLoad: Math.round(memory.unreadLoad * 100) / 100,
    });
  }

  /** Counts what its caller may have sent and was not read yet. */
  #countUnread(connection: CallerConnection, bytes: number): void {
    this.#options.memory.unreadBytes += bytes - connection.countedUnreadBytes;
    connection.countedUnreadBytes = bytes;
  }

  #shed(
    { socket, connection, waitedMillis, unparsedBytes }: WaitingConnection,
    cause: ShedCause,
  ): void {
    const { memory, log, onShed } = this.#options;
    log.warn("caller_shed", {
      cause,
      waitedMillis: Math.round(waitedMillis),
      unsentBytes: socket.writableLength,
      unparsedBytes,
      openAnswers: connection.pending.size,
      memoryLoad: Math.round(memory.load * 100) / 100,
    });
    if (connection.hasUnsentAnswer) connection.reset();
    else onShed(socket, cause);
    // Returns the memory of a head before the next check counts what is left.
    this.#countPartialHead(connection);
  }
}

/** A connection whose caller has to send or to read something. */
interface WaitingConnection {
  socket: Socket;
  connection: CallerConnection;
  waitedMillis: number;
  unparsedBytes: number;
}

function findLack(
  hasMemory: boolean,
  descriptors: DescriptorBudget,
): Lack | undefined {
  if (!hasMemory) return "no-memory";
  return descriptors.hasRoomForCaller ? undefined : "no-descriptor";
}
