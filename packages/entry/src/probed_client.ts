/**
 * HTTP client of one connection that counts the answers on it, and distinguishes a
 * clean close from a reset. When
 * a reset arrives together with the last bytes, Node reports a plain end; a write
 * then fails at once, while it still succeeds after a clean close. HTTP servers
 * ignore the empty line that is written.
 */
import type { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher } from "undici";

/** Passed as `opaque` with a request; tells which client has sent it. */
export interface SentBy {
  client: ProbedClient | undefined;
}

/** How the connection of a client has ended. */
interface Closing {
  /** Resolves to true after a clean close, and to false after a reset. */
  clean: Promise<boolean>;
}

/** State of the current connection. */
interface ConnectionState {
  closing: Closing | undefined;
  /** Answers whose head was received. */
  answers: number;
}

/** Client of one connection. */
export class ProbedClient extends Client {
  readonly #connection: ConnectionState;

  constructor(
    origin: string | URL,
    options: Client.Options & { connectTimeout?: number },
  ) {
    const connection: ConnectionState = { closing: undefined, answers: 0 };
    const connect = buildConnector({ timeout: options.connectTimeout });
    super(origin, {
      ...options,
      connect: (target, done) =>
        connect(target, (error, socket) => {
          if (error) return done(error, null);
          connection.closing = { clean: watchClose(socket) };
          connection.answers = 0;
          done(null, socket);
        }),
    });
    this.#connection = connection;
  }

  override dispatch(
    options: Dispatcher.DispatchOptions & { opaque?: unknown },
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    if (options.opaque) (options.opaque as SentBy).client = this;
    return super.dispatch(options, handler);
  }

  /** Counts an answer; returns the number of answers on the connection, with this one. */
  countAnswer(): number {
    return ++this.#connection.answers;
  }

  /** Resolves once the connection is closed: to true unless it was reset. */
  closedCleanly(): Promise<boolean> {
    return this.#connection.closing?.clean ?? Promise.resolve(false);
  }
}

function watchClose(socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    socket.prependListener("error", () => resolve(false));
    socket.prependListener("end", () => {
      socket.write("\r\n", (error) => resolve(!error));
    });
    socket.once("close", () => resolve(false));
  });
}
