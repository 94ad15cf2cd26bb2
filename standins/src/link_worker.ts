/**
 * Worker thread of {@link CuttableLink}: a TCP proxy that a cut stops as a whole, so
 * that open connections hang and the system refuses to complete new ones.
 */
import { connect, createServer, type Socket } from "node:net";
import { parentPort, workerData } from "node:worker_threads";

/** Message to the worker. */
export type LinkCommand =
  /** Stops the thread until the shared flag is set. */
  | { kind: "hang" }
  /** Refuses new connections; open ones live on or are reset. */
  | { kind: "refuse"; resetsOpen: boolean }
  | { kind: "restore" };

/** Data of the worker. */
export interface LinkWorkerData {
  upstream: string;
  flag: SharedArrayBuffer;
}

const { upstream, flag } = workerData as LinkWorkerData;
const released = new Int32Array(flag);
const [upstreamHost, upstreamPort] = upstream.split(":");
const sockets = new Set<Socket>();
let port = 0;
let server = listen();

function listen() {
  const listener = createServer((client) => {
    const target = connect({ host: upstreamHost, port: Number(upstreamPort) });
    join(client, target);
    join(target, client);
  });
  // The system completes few connections that the thread does not accept.
  listener.listen({ port, host: "127.0.0.1", backlog: 1 }, () => {
    port = (listener.address() as { port: number }).port;
    parentPort?.postMessage(port);
  });
  return listener;
}

function join(from: Socket, to: Socket): void {
  sockets.add(from);
  from.on("data", (bytes) => to.write(bytes));
  from.on("end", () => to.end());
  from.on("error", () => to.destroy());
  from.on("close", () => {
    sockets.delete(from);
    to.destroy();
  });
}

parentPort?.on("message", (command: LinkCommand) => {
  switch (command.kind) {
    case "hang":
      Atomics.wait(released, 0, 0);
      return;
    case "refuse":
      server.close();
      if (!command.resetsOpen) return;
      for (const socket of sockets) socket.resetAndDestroy();
      return;
    case "restore":
      server = listen();
  }
});
