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
    /** True once an answer has come: further requests are those of a kept connection. */
    this.kept = false;
    this.reader = new AnswerReader();
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
      this.record.sent(id, { kept: this.kept });
    });
  }

  close() {
    this.socket.destroy();
  }

  read(chunk) {
    this.reader.add(chunk);
    while (this.waiting.length > 0) {
      const answer = this.reader.next();
      if (answer === undefined) return;
      this.kept = true;
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
      const partly = this.reader.isMidway ? ", answer incomplete" : "";
      this.record.unanswered(
        id,
        this.closing ? "behind a close" : reason + partly,
      );
      resolve(0);
    }
  }
}

/** Reads answers one after another; keeps no more of them than their heads. */
class AnswerReader {
  #rest = Buffer.alloc(0);
  /** The answer that is being read; undefined before its head is complete. */
  #answer;

  /** True if an answer has begun and is not complete. */
  get isMidway() {
    return this.#answer !== undefined || this.#rest.length > 0;
  }

  add(bytes) {
    this.#rest = this.#rest.length === 0
      ? bytes
      : Buffer.concat([this.#rest, bytes]);
  }

  /** Returns the next complete answer; undefined while there is none. */
  next() {
    this.#answer ??= this.#readHead();
    const answer = this.#answer;
    if (answer === undefined) return undefined;
    do {
      if (answer.chunked && answer.left === 0 && !this.#readChunkSize(answer)) {
        return undefined;
      }
      const taken = Math.min(answer.left, this.#rest.length);
      answer.left -= taken;
      this.#rest = this.#rest.subarray(taken);
      if (answer.left > 0) return undefined;
    } while (answer.chunked && !answer.isLastChunk);
    this.#answer = undefined;
    return answer;
  }

  #readHead() {
    const end = this.#rest.indexOf("\r\n\r\n");
    if (end < 0) return undefined;
    const [statusLine, ...lines] = this.#rest.subarray(0, end)
      .toString("latin1").split("\r\n");
    this.#rest = this.#rest.subarray(end + 4);
    const headers = new Map(lines.map((line) => {
      const colon = line.indexOf(":");
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }));
    return {
      status: Number(statusLine.split(" ")[1]),
      closes: headers.get("connection")?.toLowerCase() === "close",
      chunked: headers.get("transfer-encoding") === "chunked",
      left: Number(headers.get("content-length") ?? 0),
      isLastChunk: false,
    };
  }

  /** Returns false if the line with the next chunk's size is not complete. */
  #readChunkSize(answer) {
    const end = this.#rest.indexOf("\r\n");
    if (end < 0) return false;
    const size = parseInt(this.#rest.subarray(0, end).toString("latin1"), 16);
    this.#rest = this.#rest.subarray(end + 2);
    // The line end behind the chunk counts as a part of it.
    answer.left = size + 2;
    answer.isLastChunk = size === 0;
    return true;
  }
}
