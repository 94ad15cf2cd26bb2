/**
 * A TCP proxy before one entry's peer address. A cut link forwards nothing
 * and closes nothing, as a network partition does.
 */
import { connect, createServer, type Server, type Socket } from "node:net";

/** A proxy that can be cut. */
export class LinkProxy {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #cut = false;

  constructor(target: string) {
    const [host, port] = target.split(":");
    this.#server = createServer((inbound) => {
      const outbound = connect(Number(port), host);
      this.#track(inbound, outbound);
      this.#track(outbound, inbound);
    });
  }

  listen(address: string): Promise<void> {
    const [host, port] = address.split(":");
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(Number(port), host, resolve);
    });
  }

  cut(): void {
    this.#cut = true;
    for (const socket of this.#sockets) socket.pause();
  }

  /** Breaks what was cut, so that both ends connect again. */
  heal(): void {
    this.#cut = false;
    for (const socket of this.#sockets) socket.destroy();
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #track(from: Socket, to: Socket): void {
    this.#sockets.add(from);
    from.on("data", (chunk) => {
      if (!to.write(chunk)) {
        from.pause();
        to.once("drain", () => {
          if (!this.#cut) from.resume();
        });
      }
    });
    from.on("error", () => {});
    from.on("close", () => {
      this.#sockets.delete(from);
      to.destroy();
    });
    if (this.#cut) from.pause();
  }
}
