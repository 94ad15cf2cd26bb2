/**
 * What clients, endpoints and the platform saw: who sent, ran and answered what, and
 * when, in milliseconds since the start of the case.
 */
import { writeFileSync } from "node:fs";

export class Record {
  constructor() {
    this.startedAt = performance.now();
    this.lines = [];
    /** By request id: times and results. */
    this.requests = new Map();
  }

  get now() {
    return performance.now() - this.startedAt;
  }

  note(text) {
    this.lines.push(`${this.now.toFixed(0).padStart(7)} ${text}`);
  }

  of(id) {
    let request = this.requests.get(id);
    if (request === undefined) {
      request = { id, arrivals: 0, runs: 0 };
      this.requests.set(id, request);
    }
    return request;
  }

  sent(id, { kept }) {
    Object.assign(this.of(id), { sentAt: this.now, kept });
    this.note(`client sent ${id}`);
  }

  answered(id, status, closes) {
    Object.assign(this.of(id), { status, answeredAt: this.now });
    this.note(
      `client got ${status} for ${id}${closes ? ", which closes" : ""}`,
    );
  }

  unanswered(id, reason) {
    Object.assign(this.of(id), { lost: reason, lostAt: this.now });
    this.note(`client got no answer for ${id}: ${reason}`);
  }

  arrived(id, endpoint) {
    const request = this.of(id);
    request.arrivals++;
    request.arrivedAt ??= this.now;
    this.note(`endpoint ${endpoint} got ${id}`);
  }

  began(id, endpoint) {
    const request = this.of(id);
    request.runs++;
    request.beganAt ??= this.now;
    this.note(`endpoint ${endpoint} runs ${id}`);
  }

  ended(id, endpoint, how) {
    Object.assign(this.of(id), { endedAt: this.now, ended: how });
    this.note(`endpoint ${endpoint} ended ${id}: ${how}`);
  }

  write(file) {
    writeFileSync(file, this.lines.join("\n") + "\n");
  }
}
