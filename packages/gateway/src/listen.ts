/**
 * Listeners of servers. The start waits for an address that is in use, and an error of
 * a listener that is open doesn't end the process.
 */
import type { Server } from "node:net";
import type { EventLog } from "@bamboolane/logger/create_logger";

/** Options of {@link listen}. */
export interface ListenOptions {
  log: EventLog;
}

/** Maximum number of connections that wait to be accepted. */
const BACKLOG = 4096;

/** Opens the listener of a server; rejects if that fails. */
export function listen(
  server: Server,
  address: string,
  { log }: ListenOptions,
): Promise<void> {
  const [host, port] = address.split(":");
  return new Promise((resolve, reject) => {
    const onError = (error: Error) => {
      server.off("listening", onListening);
      reject(error);
    };
    const onListening = () => {
      server.off("error", onError);
      // Accepting a connection may fail, for example for lack of descriptors.
      server.on(
        "error",
        ({ message }) =>
          log.error("accept_connection_failed", { address, error: message }),
      );
      resolve();
    };
    server.once("error", onError).once("listening", onListening);
    server.listen({ host, port: Number(port), backlog: BACKLOG });
  });
}

/**
 * Errors that pass, for example once another process releases the address, or its name
 * can be resolved.
 */
const PASSING_ERRORS: ReadonlySet<string | undefined> = new Set([
  "EADDRINUSE",
  "EADDRNOTAVAIL",
  "EMFILE",
  "ENFILE",
  "ENOBUFS",
  "ENOMEM",
  "ENOTFOUND",
  "EAI_AGAIN",
]);
const RETRY_INTERVAL_MILLIS = 100;
/** Time after which the log repeats what a start waits for. */
const REMINDER_INTERVAL_MILLIS = 5000;

/** Options of {@link listenWhenPossible}. */
export interface ListenRetryOptions {
  /** Name of the listener in the log. */
  listener: string;
  address: string;
  log: EventLog;
  isStopping: () => boolean;
}

/**
 * Opens a listener, and tries again after errors that pass, until the entry stops.
 * Rejects with any other error.
 */
export async function listenWhenPossible(
  open: () => Promise<void>,
  { listener, address, log, isStopping }: ListenRetryOptions,
): Promise<void> {
  const startMillis = performance.now();
  const waitedMillis = () => Math.round(performance.now() - startMillis);
  let loggedAtMillis = -Infinity;
  while (!isStopping()) {
    try {
      await open();
      if (loggedAtMillis < 0) return;
      return log.info("listen_resumed", {
        listener,
        address,
        waitedMillis: waitedMillis(),
      });
    } catch (error) {
      const { code, message } = error as NodeJS.ErrnoException;
      if (!PASSING_ERRORS.has(code)) throw error;
      if (waitedMillis() - loggedAtMillis >= REMINDER_INTERVAL_MILLIS) {
        loggedAtMillis = waitedMillis();
        log.warn("listen_waiting", {
          listener,
          address,
          error: message,
          waitedMillis: loggedAtMillis,
        });
      }
      await new Promise((resolve) =>
        setTimeout(resolve, RETRY_INTERVAL_MILLIS)
      );
    }
  }
}
