/**
 * Listeners of servers. An error of a listener that is open doesn't end the process.
 */
import type { Server } from "node:net";
import type { EventLog } from "@bamboolane/logger/create_logger";

/** Options of {@link listen}. */
export interface ListenOptions {
  log: EventLog;
  /** Maximum number of connections that wait to be accepted; of the system unless given. */
  backlog?: number;
}

/** Opens the listener of a server; rejects if that fails. */
export function listen(
  server: Server,
  address: string,
  { log, backlog }: ListenOptions,
): Promise<void> {
  const [host, port] = address.split(":");
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port: Number(port), backlog }, () => {
      server.off("error", reject);
      // Accepting a connection may fail, for example for lack of descriptors.
      server.on("error", (error) =>
        log.error("accept_connection_failed", {
          address,
          error: error.message,
        }));
      resolve();
    });
  });
}
