/**
 * Stand-in for a client: one connection that carries requests one after another or
 * pipelined, as the platform's clients do. It honours `Connection: close` and
 * records what it sent and what it got.
 */
import { Buffer } from "node:buffer";
import { connect } from "node:net";

export class Connection {
  /** @param {string} address `ip:port` of a machine's `front` address. */
  constructor(address, { record }) {
    const [host, port] = address.split(":");
    this.record = record;
    this.waiting = [];
    this.closing = false;
    this.ended = false;
    this.buffer = Buffer.alloc(0);
    this.socket = connect({ host, port: Number(port), noDelay: true });
    this.opened = new Promise((resolve) =>
      this.socket.once("connect", resolve)
    );
    this.socket.on("data", (chunk) => this.read(chunk));
    this.socket.on("end", () => this.end("closed"));
    this.socket.on("error", (error) => this.end(error.code));
    this.socket.on("close", () => this.end("closed"));
  }

  /** True if a further request may be sent on this connection. */
  get usable() {
    return !this.closing && !this.ended;
  }

  /** Sends a request; resolves to its status, or to 0 if the connection ended first. */
  send({ id, method, host, path, deadlineMillis, body }) {
    const head = `${method} ${path} HTTP/1.1\r\nHost: ${host}\r\n` +
      `X-Bamboolane-Request-Id: ${id}\r\n` +
      `X-Bamboolane-Deadline-Ms: ${deadlineMillis}\r\n` +
      (body ? `Content-Length: ${body.length}\r\n` : "") + "\r\n";
    return new Promise((resolve) => {
      const request = { id, resolve };
      this.waiting.push(request);
      this.socket.write(head);
      if (body) this.socket.write(body);
      this.record.sent(id);
    });
  }

  close() {
    this.socket.destroy();
  }

  read(chunk) {
    this.buffer = Buffer.concat([this.buffer, chunk]);
    while (this.waiting.length > 0) {
      const answer = parseAnswer(this.buffer);
      if (answer === undefined) return;
      this.buffer = this.buffer.subarray(answer.length);
      if (answer.closes) this.closing = true;
      const { id, resolve } = this.waiting.shift();
      this.record.answered(id, answer.status, answer.closes);
      resolve(answer.status);
      if (answer.closes) {
        this.end("closed behind an earlier answer");
        this.socket.end();
      }
    }
  }

  end(reason) {
    if (this.ended) return;
    this.ended = true;
    for (const { id, resolve } of this.waiting.splice(0)) {
      const partly = this.buffer.length > 0 ? ", answer incomplete" : "";
      this.record.unanswered(
        id,
        this.closing ? "behind a close" : reason + partly,
      );
      resolve(0);
    }
  }
}

/** The first complete answer in the bytes; undefined while there is none. */
function parseAnswer(bytes) {
  const headEnd = bytes.indexOf("\r\n\r\n");
  if (headEnd < 0) return undefined;
  const [statusLine, ...lines] = bytes.subarray(0, headEnd).toString("latin1")
    .split("\r\n");
  const headers = new Map(lines.map((line) => {
    const colon = line.indexOf(":");
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
  }));
  const answer = {
    status: Number(statusLine.split(" ")[1]),
    closes: headers.get("connection")?.toLowerCase() === "close",
  };
  let at = headEnd + 4;
  if (headers.get("transfer-encoding") !== "chunked") {
    const length = at + Number(headers.get("content-length") ?? 0);
    return bytes.length < length ? undefined : { ...answer, length };
  }
  while (true) {
    const lineEnd = bytes.indexOf("\r\n", at);
    if (lineEnd < 0) return undefined;
    const size = parseInt(bytes.subarray(at, lineEnd).toString("latin1"), 16);
    at = lineEnd + 2 + size + 2;
    if (bytes.length < at) return undefined;
    if (size === 0) return { ...answer, length: at };
  }
}
