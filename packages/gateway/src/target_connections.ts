/**
 * Connections to one target. Each carries one request at a time and the most
 * recently used goes first, so that few stay open. A connection whose request
 * got no answer is never used again; where one fell silent, the idle ones that
 * are older than it are closed too.
 */
import { connect } from "node:net";
import { buildConnector, Client } from "undici";

/** Time for a new connection; links between regions take a tenth of it. */
const connectTimeoutMillis = 1000;
/** Idle time after which a connection is closed where the target names none. */
const idleMillis = 4000;
/** Margin before the target's own idle timeout, against a request that crosses its close. */
const idleMarginMillis = 2000;
/** Time to find out whether a target's port is closed. */
const goneCheckMillis = 300;

const connectTarget = buildConnector({ timeout: connectTimeoutMillis });

/** One connection with its state. */
export class TargetConnection {
  readonly client: Client;
  /** True once the connection was established. */
  connected = false;
  /**
   * True once the connection ended with an error. The HTTP client takes an
   * answer without a length as complete then; it isn't.
   */
  failed = false;
  lastUsedAtMillis = 0;

  constructor(
    address: string,
    options: { onGone: () => void; onConnected: () => void },
  ) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: (target, done) =>
        connectTarget(target, (error, socket) => {
          if (error) return done(error, null);
          socket.prependListener("error", () => this.failed = true);
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
    const idle = this.#idle.pop();
    if (idle) return idle;
    this.#open++;
    const connection: TargetConnection = new TargetConnection(this.#address, {
      onGone: () => this.#forget(connection),
      onConnected: () => this.#onConnected(performance.now() - nowMillis),
    });
    return connection;
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
