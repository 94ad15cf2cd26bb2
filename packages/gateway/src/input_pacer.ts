/**
 * Shares the time of the event loop among all that want something of the process. In
 * each of its turns Node.js reads all connections that have data but accepts a single
 * new one at each listener, so that a few callers whose requests take long to parse
 * would keep all others out. Once turns have taken too long, no caller is read until the
 * connections that wait at any listener are accepted, and until the brief requests of
 * those other than callers, such as look-ups, are answered, which take as much time as
 * callers did at most. Then the callers that were cheapest to read are read first.
 */
import type { CallerConnection } from "./caller_connection.ts";
import type { DescriptorBudget } from "./descriptor_budget.ts";
import type { MemoryBudget } from "./memory_budget.ts";
import { PauseMonitor, type PauseMonitorOptions } from "./pause_monitor.ts";
import { pollSockets } from "./stall_monitor.ts";
import { TurnSeries } from "./turn_series.ts";

/** A server whose connections are read at the pacer's times. */
export interface PacedServer {
  /** The open connections. */
  connections: () => Iterable<CallerConnection>;
  /** Number of requests in progress. */
  readonly openAnswers: number;
}

/** Options of {@link InputPacer}. */
export interface InputPacerOptions extends PauseMonitorOptions {
  descriptors: DescriptorBudget;
  memory: MemoryBudget;
}

/** How connections that wait are accepted. */
export interface AcceptOptions {
  /** Maximum time; new connections may arrive as fast as they are accepted. */
  maxMillis: number;
  /** True if there is a descriptor for one more connection. */
  hasRoom: () => boolean;
  /** Called in the turn in which none waits. */
  onAccepted?: () => void;
}

/** Time in which callers are read before those that wait are accepted. */
const MAX_READ_MILLIS = 25;
/** Time between two reads that counts as reading at most; the rest is for other work. */
const MAX_PIECE_MILLIS = 5;
/** Maximum time for accepting them while the entry isn't stopping. */
const MAX_ACCEPT_MILLIS = 200;
/** Time for brief requests in a pause, if callers were read for a shorter time before. */
const MIN_BRIEF_MILLIS = 25;
/** Maximum time for brief requests in a pause. */
const MAX_BRIEF_MILLIS = 200;
/** Turns that are shorter on average accept brief requests fast enough. */
const MAX_BRIEF_TURN_MILLIS = 2;
/** Load of the memory up to which connections are accepted before others are read. */
const MAX_MEMORY_LOAD = 0.8;
/** Requests in progress beside which connections are accepted before others are read. */
const MAX_OPEN_ANSWERS = 32;
/** Connections that are read in one turn after a pause. */
const BATCH_SIZE = 32;
/** Time after which the next ones are read although turns are long. */
const MAX_BATCH_MILLIS = 100;
/**
 * Time for which a connection may be paused before its requests are sent without it
 * being read.
 */
const MAX_UNREAD_MILLIS = 100;
/** Polls that read what a caller has sent, and its close behind that. */
const READ_POLLS = 2;
/** What a connection of which nothing was read counts as. */
const ASSUMED_COST_MILLIS = 2;

/** Decides when callers are read; one for the process. */
export class InputPacer {
  readonly #options: InputPacerOptions;
  readonly #monitor: PauseMonitor;
  readonly #servers: PacedServer[] = [];
  #acceptedCount = 0;
  /** Connections and requests of the listeners whose requests are brief. */
  #briefCount = 0;
  /** Time for reading callers in this turn of the event loop; undefined if none was read. */
  #readMillis: number | undefined;
  #lastReadMillis = 0;
  #lastRead: CallerConnection | undefined;
  /** The turns that accepted a connection of a caller each. */
  readonly #accepting = new TurnSeries();
  /** The turns that accepted a connection of another listener, or read a request of one. */
  readonly #brief = new TurnSeries();
  /** Resolves once callers are read again; undefined while they are. */
  #pause: Promise<void> | undefined;
  #pausedAtMillis = -Infinity;
  #resumedAtMillis = performance.now();
  /** Connections that are still paused, in the order in which they will be read. */
  #unread: CallerConnection[] = [];
  /** Connections of which something was read during the pause. */
  readonly #unpaused = new Set<CallerConnection>();

  constructor(options: InputPacerOptions) {
    this.#options = options;
    this.#monitor = new PauseMonitor(options);
  }

  /** Adds a server whose connections it reads from now on. */
  addServer(server: PacedServer): void {
    this.#servers.push(server);
  }

  /** Records a new connection of a caller; undefined if it was closed at once. */
  recordAccepted(connection: CallerConnection | undefined): void {
    this.#acceptedCount++;
    if (this.#pause !== undefined) {
      // The HTTP server starts to read at the end of this tick.
      if (connection !== undefined) this.#unpaused.add(connection);
      return;
    }
    // More connections wait if the next turn accepts one, too.
    this.#accepting.record();
    if (this.#accepting.tookMillis <= MAX_READ_MILLIS) return;
    // More callers would only add to many requests that are in progress.
    const maxOpenAnswers = Math.max(this.#accepting.turns, MAX_OPEN_ANSWERS);
    if (this.#openAnswers <= maxOpenAnswers) this.#acceptFirst();
  }

  get #openAnswers(): number {
    return this.#servers.reduce((sum, { openAnswers }) => sum + openAnswers, 0);
  }

  /**
   * Records a new connection, or a request, of a listener whose requests are brief, such
   * as look-ups.
   */
  recordBrief(): void {
    this.#briefCount++;
    if (this.#pause !== undefined) return;
    this.#brief.record();
    const { tookMillis, turns } = this.#brief;
    const isLate = tookMillis > MAX_READ_MILLIS;
    if (isLate && tookMillis > turns * MAX_BRIEF_TURN_MILLIS) {
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
      setImmediate(() => {
        this.#readMillis = undefined;
        this.#monitor.recordTurn(performance.now() - nowMillis);
      });
    } else {
      const pieceMillis = Math.min(
        nowMillis - this.#lastReadMillis,
        MAX_PIECE_MILLIS,
      );
      this.#readMillis += pieceMillis;
      // The time between reads of two connections may be that of other work.
      if (connection === this.#lastRead) connection.recordCost(pieceMillis);
    }
    this.#lastReadMillis = nowMillis;
    this.#lastRead = connection;
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
   * Resolves once a connection was polled, so that its caller's close is noticed. One
   * that stays paused is read for that.
   */
  async untilPolled(connection: CallerConnection): Promise<void> {
    const endMillis = performance.now() + MAX_UNREAD_MILLIS;
    let wasPaused: boolean;
    do {
      wasPaused = connection.isPaused;
      await pollSockets();
      if (!wasPaused && !connection.isPaused) return;
    } while (performance.now() < endMillis);
    await this.#read(connection);
  }

  /** Reads a connection that is paused for some time; undefined if it isn't. */
  readIfUnread(connection: CallerConnection): Promise<void> | undefined {
    return connection.pausedMillis > MAX_UNREAD_MILLIS
      ? this.#read(connection)
      : undefined;
  }

  /** Reads a connection, also during a pause. */
  async #read(connection: CallerConnection): Promise<void> {
    for (let poll = 0; poll < READ_POLLS; poll++) {
      this.#unpaused.delete(connection);
      connection.resumeInput();
      await pollSockets();
    }
    if (this.#pause !== undefined) this.#pauseInput([connection]);
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
    // A pause that began meanwhile stopped some that had been read for a moment only.
    return new Set(
      [...this.#connections()].filter(({ isPaused }) => isPaused),
    );
  }

  /** True if callers waited within the given time because reading took too long. */
  hasPausedWithin(millis: number): boolean {
    return performance.now() - this.#pausedAtMillis < millis;
  }

  /** Accepts the connections that wait, and reads nothing meanwhile. */
  async acceptWaiting(options: AcceptOptions): Promise<void> {
    while (this.#pause !== undefined) await this.#pause;
    this.#accepting.end();
    this.#brief.end();
    this.#pause = this.#acceptPaused(options);
    await this.#pause;
  }

  async #acceptPaused(
    { maxMillis, hasRoom, onAccepted }: AcceptOptions,
  ): Promise<void> {
    const startMillis = performance.now();
    const acceptedBefore = this.#acceptedCount;
    const briefBefore = this.#briefCount;
    this.#pausedAtMillis = startMillis;
    this.#pauseInput(this.#connections());
    await this.#endTurn();
    const endMillis = performance.now() + maxMillis;
    const briefEndMillis = performance.now() + Math.min(
      Math.max(startMillis - this.#resumedAtMillis, MIN_BRIEF_MILLIS),
      MAX_BRIEF_MILLIS,
    );
    let isAccepting = true;
    let isBrief: boolean;
    do {
      const accepted = this.#acceptedCount;
      const brief = this.#briefCount;
      await this.#endTurn();
      const nowMillis = performance.now();
      if (isAccepting) {
        const isNoneWaiting = this.#acceptedCount === accepted;
        if (isNoneWaiting) onAccepted?.();
        isAccepting = !isNoneWaiting && nowMillis < endMillis && hasRoom();
      }
      isBrief = this.#briefCount > brief && nowMillis < briefEndMillis;
    } while (isAccepting || isBrief);
    this.#pause = undefined;
    this.#resumedAtMillis = performance.now();
    this.#monitor.recordPause({
      tookMillis: this.#resumedAtMillis - startMillis,
      accepted: this.#acceptedCount - acceptedBefore,
      brief: this.#briefCount - briefBefore,
    });
    this.#resume();
  }

  *#connections(): Generator<CallerConnection> {
    for (const server of this.#servers) yield* server.connections();
  }

  /** Resolves at the end of the turn of the event loop, with all input paused. */
  async #endTurn(): Promise<void> {
    await new Promise((resolve) => setImmediate(resolve));
    this.#pauseInput(this.#unpaused);
    this.#unpaused.clear();
  }

  /**
   * Reads nothing more, except from callers that wait for their answer: little more
   * than their close can come, and their requests must not be sent after it. What comes
   * on connections that are ended is dropped; unread, it would reset them.
   */
  #pauseInput(connections: Iterable<CallerConnection>): void {
    for (const connection of connections) {
      const isRead = connection.waitsForAnswer || connection.isEnded;
      if (!isRead) connection.pauseInput();
      else if (connection.isPaused) connection.resumeInput();
    }
  }

  /** Reads all connections; the system reports them in the order of these calls. */
  #resume(): void {
    const nowMillis = performance.now();
    // Among those of which nothing was read, the newest come first: some of them would
    // wait for too long in any order.
    const connections = [...this.#connections()].reverse().map(
      (connection) => ({
        connection,
        // Little more than the close of a caller that waits for its answer can come.
        costMillis: connection.waitsForAnswer
          ? 0
          : connection.recentCostMillis(nowMillis) || ASSUMED_COST_MILLIS,
      }),
    );
    connections.sort((a, b) => a.costMillis - b.costMillis);
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
