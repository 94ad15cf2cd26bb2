/**
 * Stand-in for the users' endpoints. All of them run in the process of the script; each
 * has a port of its own and is reached by every entry at an address of that entry's own,
 * so that the path of one entry can be cut.
 */
import { createServer as createHttpServer } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { pause } from "./store.mjs";

const SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1";

/** Runs requests in its slots, one after another, and records what it runs. */
export class Endpoint {
  static #nextPort = 20_000 + Math.floor(Math.random() * 8000);

  /** Requests that it ran: id, service, path, start. */
  runs = [];
  draining = false;
  /** Share of the requests that it runs whose answer is lost. */
  lostShare = 0;
  #running = 0;
  #queue = [];
  #links = new Map();

  constructor(options) {
    this.id = options.id;
    this.service = options.service;
    this.zone = options.zone;
    this.slots = options.slots ?? 3;
    this.workMillis = options.workMillis ?? 100;
    this.bornMillis = Date.now();
    this.sequence = 0;
    this.server = createHttpServer((request, response) =>
      this.#handle(request, response)
    );
    this.server.keepAliveTimeout = 10_000;
  }

  /** Listens on the address of each entry; all of them have the same port. */
  async listen(hosts) {
    for (let tries = 0; tries < 50; tries++) {
      this.port = Endpoint.#nextPort++;
      try {
        for (const host of hosts) await this.openPath(host);
        return;
      } catch {
        for (const host of hosts) this.closePath(host);
      }
    }
    throw new Error("no free port for an endpoint");
  }

  /** Lets the entry with this link connect. */
  openPath(host) {
    const sockets = new Set();
    const listener = createTcpServer((socket) => {
      sockets.add(socket);
      socket.on("error", () => {});
      socket.once("close", () => sockets.delete(socket));
      this.server.emit("connection", socket);
    });
    this.#links.set(host, { listener, sockets });
    return new Promise((resolve, reject) => {
      listener.once("error", reject);
      listener.listen(this.port, host, resolve);
    });
  }

  /** Resets the connections of the entry with this link, and refuses new ones. */
  closePath(host) {
    const link = this.#links.get(host);
    if (link === undefined) return;
    this.#links.delete(host);
    for (const socket of link.sockets) socket.resetAndDestroy();
    link.listener.close();
  }

  close() {
    for (const host of [...this.#links.keys()]) this.closePath(host);
  }

  /** The entry that it writes to the store. */
  row(state = this.draining ? "draining" : "ready") {
    return JSON.stringify({
      address: `127.0.0.1:${this.port}`,
      born: this.bornMillis,
      info: {
        service: this.service,
        zone: this.zone,
        version: "v1",
        slots: this.slots,
      },
      status: {
        state,
        warmup_left: "0ms",
        sequence: ++this.sequence,
      },
    });
  }

  async #handle(request, response) {
    const id = request.headers["x-bamboolane-request-id"];
    const expected = request.headers["x-bamboolane-expect-instance"];
    request.resume();
    if (id !== undefined) response.setHeader("X-Bamboolane-Request-Id", id);
    response.setHeader("X-Bamboolane-Instance-Id", this.id);
    if (request.url === "/healthz") {
      response.writeHead(this.draining ? 503 : 200).end();
      return;
    }
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421).end();
      return;
    }
    if (id === undefined) {
      response.writeHead(400, { "X-Bamboolane-Not-Executed": "1" }).end();
      return;
    }
    if (this.#running >= this.slots && this.#queue.length >= 3 * this.slots) {
      response.writeHead(503, { "X-Bamboolane-Not-Executed": "1" }).end();
      return;
    }
    if (this.#running >= this.slots) {
      await new Promise((resolve) => this.#queue.push(resolve));
    } else this.#running++;
    if (!request.socket.destroyed) await this.#run(request, response, id);
    const next = this.#queue.shift();
    if (next === undefined) this.#running--;
    else next();
  }

  async #run(request, response, id) {
    const run = {
      id,
      endpoint: this.id,
      service: this.service,
      path: request.url,
      atMillis: performance.now(),
    };
    this.runs.push(run);
    await pause(this.workMillis * (0.8 + 0.4 * Math.random()));
    if (Math.random() < this.lostShare) {
      run.lost = true;
      request.socket.resetAndDestroy();
      return;
    }
    response.setHeader("X-Bamboolane-Response-Signature", SIGNATURE);
    response.setHeader(
      "X-Bamboolane-Server-Load",
      `${this.#running},${this.#queue.length},${this.slots},100`,
    );
    response.end(`${this.service} ${this.id} ${id}\n`);
  }
}
