/**
 * A TCP proxy in front of one entry's peer address. A cut link forwards no
 * bytes and closes no connection, as in a network partition.
 */
import { connect, createServer, type Server, type Socket } from "node:net";

/** A TCP proxy that can be cut and healed. Addresses are `host:port`. */
export class LinkProxy {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #cut = false;

  constructor(peerAddress: string) {
    const [host, port] = peerAddress.split(":");
    this.#server = createServer((inbound) => {
      const outbound = connect(Number(port), host);
      this.#forward(inbound, outbound);
      this.#forward(outbound, inbound);
    });
  }

  listen(address: string): Promise<void> {
    const [host, port] = address.split(":");
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(Number(port), host, resolve);
    });
  }

  /** Stops forwarding on all connections, also on those opened later. */
  cut(): void {
    this.#cut = true;
    for (const socket of this.#sockets) socket.pause();
  }

  /** Ends the cut and closes all connections, so that both ends reconnect. */
  heal(): void {
    this.#cut = false;
    for (const socket of this.#sockets) socket.destroy();
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Forwards bytes in one direction, except while the link is cut. */
  #forward(from: Socket, to: Socket): void {
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
