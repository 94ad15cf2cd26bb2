/**
 * Stand-in for an endpoint: runs `slots` requests at a time, queues a few more,
 * rejects the rest with X-Bamboolane-Not-Executed, and stops work when the sender's
 * connection closes or the deadline passes. It records each arrival and each run.
 */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";

/** Requests that wait for each slot before the endpoint is full. */
const QUEUE_PER_SLOT = 3;
const IDLE_CLOSE_MILLIS = 10_000;

export class Endpoint {
  /**
   * @param {object} options `id`, `service`, `zone`, `slots`, `record`, and
   * `work(request)`, which returns `{ workMillis, bodyBytes }`. A faulty endpoint has
   * `spoil(id)`, which returns the bytes that it sends in place of an answer, if any;
   * `closes(id)` tells whether an answer bears `Connection: close`.
   */
  constructor(options) {
    Object.assign(this, options);
    this.born = Date.now();
    this.sequence = 0;
    this.running = 0;
    this.queue = [];
    this.server = createServer(
      { keepAliveTimeout: IDLE_CLOSE_MILLIS },
      (request, response) => this.handle(request, response),
    );
  }

  async listen() {
    await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  /** The row that the endpoint writes into the store. */
  row() {
    return {
      address: this.address,
      born: this.born,
      info: {
        service: this.service,
        version: "v1",
        zone: this.zone,
        slots: this.slots,
      },
      status: {
        state: "ready",
        sequence: ++this.sequence,
        warmup_left: "0ms",
      },
    };
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  handle(request, response) {
    const id = String(request.headers["x-bamboolane-request-id"] ?? "");
    response.setHeader(
      "X-Bamboolane-Server-Load",
      `${this.running},${this.queue.length},${this.slots}`,
    );
    if (request.url === "/healthz") {
      response.setHeader("X-Bamboolane-Instance-Id", this.id);
      response.end();
      return;
    }
    const expected = request.headers["x-bamboolane-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "X-Bamboolane-Instance-Id": this.id }).end();
      return;
    }
    if (id !== "") response.setHeader("X-Bamboolane-Request-Id", id);
    if (id === "" || this.queue.length >= this.slots * QUEUE_PER_SLOT) {
      response.setHeader("X-Bamboolane-Not-Executed", "1");
      response.writeHead(id === "" ? 400 : 503).end();
      return;
    }
    this.record.arrived(id, this.id);
    const job = {
      id,
      request,
      response,
      deadlineAt: performance.now() +
        Number(request.headers["x-bamboolane-deadline-ms"] ?? Infinity),
      left: false,
      bodyRead: false,
    };
    response.once("close", () => {
      if (response.writableFinished) return;
      job.left = true;
      job.stop?.();
    });
    request.on("data", () => {});
    request.once("end", () => job.bodyRead = true);
    this.queue.push(job);
    this.startNext();
  }

  startNext() {
    while (this.running < this.slots && this.queue.length > 0) {
      const job = this.queue.shift();
      if (job.left) continue;
      if (performance.now() >= job.deadlineAt) {
        job.response.setHeader("X-Bamboolane-Not-Executed", "1");
        job.response.writeHead(503).end();
        continue;
      }
      this.run(job);
    }
  }

  run(job) {
    this.running++;
    this.record.began(job.id, this.id);
    const { workMillis, bodyBytes } = this.work(job.request);
    const leftMillis = job.deadlineAt - performance.now();
    const finish = () => {
      if (job.stop === undefined) return;
      job.stop = undefined;
      clearTimeout(timer);
      this.running--;
      this.record.ended(job.id, this.id, job.left ? "caller left" : "done");
      if (!job.left) {
        this.answer(job, workMillis > leftMillis ? 504 : 200, bodyBytes);
      }
      this.startNext();
    };
    const timer = setTimeout(
      finish,
      Math.min(workMillis, Math.max(0, Math.min(leftMillis, 2 ** 30))),
    );
    job.stop = finish;
  }

  answer({ id, request, response }, status, bodyBytes) {
    const spoilt = this.spoil?.(id);
    if (spoilt !== undefined) {
      this.record.note(`endpoint ${this.id} spoils its answer to ${id}`);
      request.socket.write(spoilt);
      return;
    }
    if (this.closes?.(id)) response.setHeader("Connection", "close");
    response.writeHead(status, {
      "X-Bamboolane-Response-Signature": `sig-${id}`,
      "Content-Length": bodyBytes,
    });
    response.end(bodyOf(id, bodyBytes));
  }
}

/** The body of an answer: the request's id, repeated up to the length. */
export function bodyOf(id, bytes) {
  return Buffer.alloc(bytes, `${id} `);
}
