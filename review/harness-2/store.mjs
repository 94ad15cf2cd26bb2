/**
 * Stand-in for the platform's store: rows, reads as of a single moment, the change feed,
 * and transactions. Each entry reaches it at an address of its own, so that it can turn
 * single machines away and so that their paths to it can have different delays.
 */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";

/** Largest page of a read, as the users' protocol page states it. */
const MAX_PAGE_ROWS = 500;
/** Time that a call takes at the store itself. */
const CALL_MILLIS = 4;
const MAX_WAIT_MILLIS = 30_000;

/** Waits for a time. */
export function pause(millis) {
  return new Promise((resolve) => setTimeout(resolve, millis));
}

/** The store's rows and its interface. */
export class Store {
  #rows = new Map();
  #version = 0;
  #startMillis = performance.now();
  #waiting = new Set();
  #doors = [];

  /** Opens an address for one entry; `link` says how that entry reaches the store. */
  async open(host, link) {
    const door = {
      /** Delay of each direction. */
      oneWayMillis: link?.oneWayMillis ?? 0,
      /** Turns the entry away with 503 while true. */
      rejects: false,
      /** Changes the value of a row for this entry. */
      mapValue: link?.mapValue ?? ((_table, value) => value),
      calls: [],
    };
    const server = createServer((request, response) =>
      this.#serve(door, request, response).catch(() => response.destroy())
    );
    server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => server.listen(0, host, resolve));
    door.server = server;
    door.address = `${host}:${server.address().port}`;
    this.#doors.push(door);
    return door;
  }

  /** Writes rows of the operator or of endpoints; an undefined value removes the row. */
  write(table, key, value) {
    this.#apply([{ table, key, part: "", value }]);
  }

  close() {
    for (const { server } of this.#doors) {
      server.closeAllConnections();
      server.close();
    }
  }

  #apply(changes) {
    this.#version++;
    for (const { table, key, part, value } of changes) {
      const row = { table, part: part ?? "", key, ver: this.#version };
      if (value === undefined) row.tombstone = true;
      else row.value = value;
      this.#rows.set(`${table}/${part ?? ""}/${key}`, row);
    }
    for (const wake of [...this.#waiting]) wake();
  }

  #table(table, part) {
    return [...this.#rows.values()].filter((row) =>
      row.table === table && (part === undefined || row.part === part)
    );
  }

  async #serve(door, request, response) {
    const url = new URL(request.url, "http://store");
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    await pause(door.oneWayMillis + CALL_MILLIS);
    door.calls.push({ atMillis: performance.now(), url: request.url });
    if (door.rejects) {
      await pause(door.oneWayMillis);
      response.writeHead(503).end();
      return;
    }
    const { status, body } = await this.#answer(
      url,
      Buffer.concat(chunks).toString("utf8"),
      door,
    );
    const text = JSON.stringify({
      ...body,
      ver: body.ver ?? this.#version,
      now: `${Math.round(performance.now() - this.#startMillis)}ms`,
    });
    await pause(door.oneWayMillis);
    response.writeHead(status, { "content-type": "application/json" });
    response.end(text);
  }

  async #answer(url, text, door) {
    const query = url.searchParams;
    switch (url.pathname) {
      case "/bamboolane/rows-get":
        return this.#read(query, door);
      case "/bamboolane/rows-feed":
        return await this.#feed(query, door);
      case "/bamboolane/rows-tx":
        return this.#commit(JSON.parse(text));
      default:
        return { status: 404, body: {} };
    }
  }

  #read(query, door) {
    const from = query.get("from") ?? "";
    const to = query.get("to");
    const limit = Math.min(
      Number(query.get("limit") ?? MAX_PAGE_ROWS),
      MAX_PAGE_ROWS,
    );
    const rows = this.#table(query.get("table"), query.get("part") ?? "")
      .filter((row) =>
        !row.tombstone && row.key >= from && (to === null || row.key < to)
      )
      .sort((a, b) => a.key < b.key ? -1 : 1);
    return {
      status: 200,
      body: {
        rows: rows.slice(0, limit).map((row) => encode(row, door)),
        truncated: rows.length > limit,
        ver: this.#version,
      },
    };
  }

  async #feed(query, door) {
    const after = query.get("after") ?? "";
    if (!/^\d+$/.test(after)) return { status: 400, body: {} };
    const waitMillis = Math.min(Number(query.get("wait_ms")), MAX_WAIT_MILLIS);
    const endMillis = performance.now() + waitMillis;
    while (true) {
      const rows = this.#table(query.get("table"))
        .filter((row) => row.ver > Number(after))
        .sort((a, b) => a.ver - b.ver);
      const leftMillis = endMillis - performance.now();
      if (rows.length > 0 || leftMillis <= 0) {
        return {
          status: 200,
          body: {
            rows: rows.map((row) => encode(row, door)),
            ver: this.#version,
          },
        };
      }
      await this.#untilChange(leftMillis);
    }
  }

  #untilChange(millis) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, millis);
      this.#waiting.add(wake);
    });
  }

  #commit({ precondition = [], puts = [], remove = [] }) {
    const rowOf = ({ table, part, key }) =>
      this.#rows.get(`${table}/${part ?? ""}/${key}`);
    const met = precondition.every((condition) => {
      const row = rowOf(condition);
      return condition.ver === (row && !row.tombstone ? row.ver : 0);
    });
    if (!met) return { status: 412, body: { rows: [] } };
    if ([...puts, ...remove].some(({ table }) => READ_ONLY.has(table))) {
      return { status: 403, body: {} };
    }
    this.#apply([
      ...puts.map((put) => ({
        ...put,
        value: Buffer.from(put.value, "base64").toString("utf8"),
      })),
      ...remove.map(({ table, part, key }) => ({ table, part, key })),
    ]);
    return { status: 200, body: {} };
  }
}

/** Tables that the system may not write to. */
const READ_ONLY = new Set(["op", "servers"]);

function encode(row, door) {
  if (row.tombstone) return row;
  const value = door.mapValue(row.table, row.value);
  return { ...row, value: Buffer.from(value, "utf8").toString("base64") };
}
