/**
 * Shares the time of the event loop among callers. In each of its turns Node.js reads
 * all connections that have data but accepts a single new one, so that a few callers
 * whose requests take long to parse would keep all others out. Once the turn has taken
 * too long, nothing more is read until the connections that wait are accepted; then
 * those that sent least are read first.
 */
import type { CallerConnection } from "./caller_connection.ts";
import type { DescriptorBudget } from "./descriptor_budget.ts";
import type { MemoryBudget } from "./memory_budget.ts";
import { pollSockets } from "./stall_monitor.ts";

/** Options of {@link InputPacer}. */
export interface InputPacerOptions {
  /** The open connections. */
  connections: () => Iterable<CallerConnection>;
  descriptors: DescriptorBudget;
  memory: MemoryBudget;
  /** Number of requests in progress. */
  openAnswers: () => number;
}

/** How connections that wait are accepted. */
export interface AcceptOptions {
  /** Maximum time; new connections may arrive as fast as they are accepted. */
  maxMillis: number;
  /** True if there is a descriptor for one more connection. */
  hasRoom: () => boolean;
  /** Called when none waits, or there is no time or room for more. */
  onAccepted?: (count: number) => void;
}

/** Time in which callers are read before those that wait are accepted. */
const MAX_READ_MILLIS = 25;
/** Time between two reads that counts as reading at most; the rest is for other work. */
const MAX_PIECE_MILLIS = 5;
/** Maximum time for accepting them while the entry isn't stopping. */
const MAX_ACCEPT_MILLIS = 200;
/** Load of the memory up to which connections are accepted before others are read. */
const MAX_MEMORY_LOAD = 0.8;
/** Requests in progress beside which connections are accepted before others are read. */
const MAX_OPEN_ANSWERS = 32;
/** Connections that are read in one turn after a pause. */
const BATCH_SIZE = 32;
/** Time after which the next ones are read although turns are long. */
const MAX_BATCH_MILLIS = 100;
/** Maximum time for which a request waits until its connection is polled. */
const MAX_POLL_MILLIS = 500;
/** What a connection of which nothing was read counts as. */
const ASSUMED_BYTES = 4096;

/** Decides when callers are read. */
export class InputPacer {
  readonly #options: InputPacerOptions;
  #acceptedCount = 0;
  /** Time for reading callers in this turn of the event loop; undefined if none was read. */
  #readMillis: number | undefined;
  #lastReadMillis = 0;
  /** The turns that accepted a connection each; undefined if the last one didn't. */
  #accepting: { startMillis: number; turns: number } | undefined;
  /** Resolves once callers are read again; undefined while they are. */
  #pause: Promise<void> | undefined;
  #pausedAtMillis = -Infinity;
  /** Connections that are still paused, in the order in which they will be read. */
  #unread: CallerConnection[] = [];
  /** Connections of which something was read during the pause. */
  readonly #unpaused = new Set<CallerConnection>();

  constructor(options: InputPacerOptions) {
    this.#options = options;
  }

  /** Records a new connection. */
  recordAccepted(connection: CallerConnection | undefined): void {
    this.#acceptedCount++;
    if (this.#pause !== undefined) {
      // The HTTP server starts to read at the end of this tick.
      if (connection !== undefined) this.#unpaused.add(connection);
      return;
    }
    this.#accepting ??= { startMillis: performance.now(), turns: 0 };
    const { startMillis } = this.#accepting;
    const turns = ++this.#accepting.turns;
    const accepted = this.#acceptedCount;
    // More connections wait if the next turn accepts one, too.
    setImmediate(() =>
      setImmediate(() => {
        if (this.#acceptedCount === accepted) this.#accepting = undefined;
      })
    );
    const isLate = performance.now() - startMillis > MAX_READ_MILLIS;
    // More callers would only add to many requests that are in progress.
    const maxOpenAnswers = Math.max(turns, MAX_OPEN_ANSWERS);
    if (isLate && this.#options.openAnswers() <= maxOpenAnswers) {
      this.#acceptFirst();
    }
  }

  /** Records that a request, or a piece of one, was read. */
  recordRead(connection: CallerConnection): void {
    if (this.#pause !== undefined) {
      // The HTTP server goes on reading where it waits for the rest of a body.
      this.#unpaused.add(connection);
      return;
    }
    const nowMillis = performance.now();
    if (this.#readMillis === undefined) {
      this.#readMillis = 0;
      setImmediate(() => this.#readMillis = undefined);
    } else {
      this.#readMillis += Math.min(
        nowMillis - this.#lastReadMillis,
        MAX_PIECE_MILLIS,
      );
    }
    this.#lastReadMillis = nowMillis;
    if (this.#readMillis > MAX_READ_MILLIS) this.#acceptFirst();
  }

  #acceptFirst(): void {
    const { descriptors, memory } = this.#options;
    // Those that are accepted and not yet refused take memory and descriptors.
    this.acceptWaiting({
      maxMillis: MAX_ACCEPT_MILLIS,
      hasRoom: () =>
        descriptors.hasRoomForRefusals && memory.load < MAX_MEMORY_LOAD,
    });
  }

  /**
   * Resolves once a connection was polled without a pause, so that its caller's close
   * is noticed, or after some time.
   */
  async untilPolled(connection: CallerConnection): Promise<void> {
    const endMillis = performance.now() + MAX_POLL_MILLIS;
    let wasPaused: boolean;
    do {
      wasPaused = connection.isPaused;
      await pollSockets();
    } while (
      (wasPaused || connection.isPaused) && performance.now() < endMillis
    );
  }

  /**
   * Resolves once all that callers have sent was read, to the connections for which
   * there was no time.
   *
   * @param maxMillis maximum time; callers may send as fast as they are read
   */
  async untilAllRead(
    maxMillis: number,
  ): Promise<ReadonlySet<CallerConnection>> {
    const endMillis = performance.now() + maxMillis;
    do {
      await this.#pause;
      await pollSockets();
    } while (
      (this.#pause !== undefined || this.#unread.length > 0) &&
      performance.now() < endMillis
    );
    await pollSockets();
    return new Set(this.#unread);
  }

  /** True if callers waited within the given time because reading took too long. */
  hasPausedWithin(millis: number): boolean {
    return performance.now() - this.#pausedAtMillis < millis;
  }

  /** Accepts the connections that wait, and reads nothing meanwhile. */
  async acceptWaiting(options: AcceptOptions): Promise<void> {
    if (this.#pause !== undefined) await this.#pause;
    this.#accepting = undefined;
    this.#pause = this.#acceptPaused(options);
    await this.#pause;
  }

  async #acceptPaused(
    { maxMillis, hasRoom, onAccepted }: AcceptOptions,
  ): Promise<void> {
    const countBefore = this.#acceptedCount;
    this.#pausedAtMillis = performance.now();
    for (const connection of this.#options.connections()) {
      connection.pauseInput();
    }
    await this.#endTurn();
    const endMillis = performance.now() + maxMillis;
    let accepted: number;
    do {
      accepted = this.#acceptedCount;
      await this.#endTurn();
    } while (
      this.#acceptedCount > accepted && performance.now() < endMillis &&
      hasRoom()
    );
    onAccepted?.(this.#acceptedCount - countBefore);
    this.#pause = undefined;
    this.#resume();
  }

  /** Resolves at the end of the turn of the event loop, with all input paused. */
  async #endTurn(): Promise<void> {
    await new Promise((resolve) => setImmediate(resolve));
    for (const connection of this.#unpaused) connection.pauseInput();
    this.#unpaused.clear();
  }

  /** Reads all connections; the system reports them in the order of these calls. */
  #resume(): void {
    const nowMillis = performance.now();
    // Among those of which nothing was read, the newest come first: some of them would
    // wait for too long in any order.
    const connections = [...this.#options.connections()].reverse().map(
      (connection) => ({
        connection,
        // Little more than the close of a caller that waits for its answer can come.
        recentBytes: connection.waitsForAnswer
          ? 0
          : connection.recentBytes(nowMillis) || ASSUMED_BYTES,
      }),
    );
    connections.sort((a, b) => a.recentBytes - b.recentBytes);
    this.#unread = connections.map(({ connection }) => connection);
    this.#resumeBatch();
  }

  /** Reads some connections, and the others after them unless there is no time. */
  #resumeBatch(): void {
    for (const connection of this.#unread.splice(0, BATCH_SIZE)) {
      connection.resumeInput();
    }
    if (this.#unread.length > 0) this.#afterTurn(performance.now());
  }

  /** Reads the next connections after a turn that was short, or after some time. */
  #afterTurn(sinceMillis: number): void {
    const startMillis = performance.now();
    setImmediate(() => {
      if (this.#pause !== undefined) return;
      const nowMillis = performance.now();
      const isShort = nowMillis - startMillis <= MAX_READ_MILLIS;
      if (isShort || nowMillis - sinceMillis > MAX_BATCH_MILLIS) {
        return this.#resumeBatch();
      }
      this.#afterTurn(sinceMillis);
    });
  }
}
