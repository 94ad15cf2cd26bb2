/**
 * Connections to one target. Each carries one request at a time and the most
 * recently used goes first, so that few stay open. A connection whose request
 * got no answer is never used again; where one fell silent, the idle ones that
 * are older than it are closed too.
 */
import { connect, type Socket } from "node:net";
import { buildConnector, Client } from "undici";

/** Time for a new connection; links between regions take a tenth of it. */
const connectTimeoutMillis = 1000;
/** Idle time after which a connection is closed where the target names none. */
const idleMillis = 4000;
/** Margin before the target's own idle timeout, against a request that crosses its close. */
const idleMarginMillis = 2000;
/**
 * Part of the idle time after which a kept connection proved dead that later
 * ones may be idle: the target may forget the next one sooner.
 */
const distrustedShareOfIdle = 0.5;
/** How long a target that forgot an idle connection is distrusted: a few of its idle times. */
const distrustMillis = 10_000;
/** Time to find out whether a target's port is closed. */
const goneCheckMillis = 300;

const connectTarget = buildConnector({ timeout: connectTimeoutMillis });

/**
 * Tells an orderly end of a connection from a reset. When a reset arrives
 * together with the last bytes, Node reports a plain end; but then a write
 * fails at once, while it still succeeds after an orderly end. The empty line
 * that is written means nothing to an HTTP server.
 */
class EndProbe {
  readonly result: Promise<boolean>;
  #settle!: (inOrder: boolean) => void;
  #armed = false;

  constructor() {
    this.result = new Promise((resolve) => this.#settle = resolve);
  }

  arm(): void {
    this.#armed = true;
  }

  watch(socket: Socket): void {
    socket.prependListener("error", () => this.#settle(false));
    socket.prependListener("end", () => {
      if (!this.#armed) return;
      socket.write("\r\n", (error) => this.#settle(!error));
    });
  }
}

/** One connection with its state. */
export class TargetConnection {
  readonly client: Client;
  /** True once the connection was established. */
  connected = false;
  lastUsedAtMillis = 0;
  /** How long it was idle before the request that it carries; 0 for its first. */
  idleBeforeMillis = 0;
  readonly #end = new EndProbe();

  constructor(
    address: string,
    options: { onGone: () => void; onConnected: () => void },
  ) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: (target, done) =>
        connectTarget(target, (error, socket) => {
          if (error) return done(error, null);
          this.#end.watch(socket);
          done(null, socket);
        }),
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: idleMillis,
      keepAliveTimeoutThreshold: idleMarginMillis,
    });
    this.client.on("connect", () => {
      this.connected = true;
      options.onConnected();
    });
    this.client.on("disconnect", options.onGone);
    this.client.on("connectionError", options.onGone);
  }

  /** The answer under way ends with the connection: finds out how that ends. */
  expectEnd(): void {
    this.#end.arm();
  }

  /** True where the connection ended in order, false where it was reset. */
  endedInOrder(): Promise<boolean> {
    return this.#end.result;
  }

  close(): void {
    this.client.destroy().catch(() => {
      // Destroying an already closed connection changes nothing.
    });
  }
}

/** All connections of this entry to one target. */
export class TargetConnections {
  readonly #address: string;
  readonly #idle: TargetConnection[] = [];
  /** Connections that were counted out already. */
  readonly #gone = new WeakSet<TargetConnection>();
  readonly #onConnected: (tookMillis: number) => void;
  #open = 0;
  /** Longest idle time that is trusted, until `#distrustUntilMillis`. */
  #trustedIdleMillis = Infinity;
  #distrustUntilMillis = -Infinity;

  constructor(
    address: string,
    options: { onConnected: (tookMillis: number) => void },
  ) {
    this.#address = address;
    this.#onConnected = options.onConnected;
  }

  get open(): number {
    return this.#open;
  }

  /** An idle connection, or a new one that connects with its first request. */
  acquire(nowMillis: number): TargetConnection {
    const idle = this.#takeIdle(nowMillis);
    if (idle) return idle;
    this.#open++;
    const connection: TargetConnection = new TargetConnection(this.#address, {
      onGone: () => this.#forget(connection),
      onConnected: () => this.#onConnected(performance.now() - nowMillis),
    });
    return connection;
  }

  /** A kept connection proved dead when it was used again: others may be, too. */
  noteForgotten(connection: TargetConnection, nowMillis: number): void {
    if (connection.idleBeforeMillis === 0) return;
    this.#trustedIdleMillis = Math.min(
      nowMillis < this.#distrustUntilMillis
        ? this.#trustedIdleMillis
        : Infinity,
      connection.idleBeforeMillis * distrustedShareOfIdle,
    );
    this.#distrustUntilMillis = nowMillis + distrustMillis;
  }

  release(connection: TargetConnection, nowMillis: number): void {
    connection.lastUsedAtMillis = nowMillis;
    if (connection.connected && !connection.client.destroyed) {
      this.#idle.push(connection);
    }
  }

  /** Closes a connection that can't be trusted any more. */
  discard(connection: TargetConnection): void {
    connection.close();
    this.#forget(connection);
  }

  /** Closes idle connections last used before `millis`. */
  discardIdleSince(millis: number): void {
    for (const connection of [...this.#idle]) {
      if (connection.lastUsedAtMillis < millis) this.discard(connection);
    }
  }

  closeIdle(): void {
    for (const connection of [...this.#idle]) this.discard(connection);
  }

  /** The most recently used idle connection that is still trusted. */
  #takeIdle(nowMillis: number): TargetConnection | undefined {
    const connection = this.#idle[this.#idle.length - 1];
    if (connection === undefined) return undefined;
    const idleMillis = nowMillis - connection.lastUsedAtMillis;
    if (
      nowMillis < this.#distrustUntilMillis &&
      idleMillis > this.#trustedIdleMillis
    ) {
      // The others were idle even longer.
      this.closeIdle();
      return undefined;
    }
    this.#idle.pop();
    connection.idleBeforeMillis = idleMillis;
    return connection;
  }

  #forget(connection: TargetConnection): void {
    const index = this.#idle.indexOf(connection);
    if (index >= 0) this.#idle.splice(index, 1);
    if (this.#gone.has(connection)) return;
    this.#gone.add(connection);
    this.#open--;
    if (!connection.client.destroyed) connection.close();
  }
}

/** Tells whether an address refuses connections: its process is gone. */
export function isAddressClosed(address: string): Promise<boolean> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    const finish = (closed: boolean) => {
      socket.destroy();
      resolve(closed);
    };
    socket.setTimeout(goneCheckMillis, () => finish(false));
    socket.once("connect", () => finish(false));
    socket.once(
      "error",
      (error: NodeJS.ErrnoException) => finish(error.code === "ECONNREFUSED"),
    );
  });
}
