/**
 * Stand-in for the platform's store: rows with versions, the feed of changes, and
 * transactions with preconditions, as the platform's protocol describes them.
 */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";

const MAX_PAGE_ROWS = 500;
const FEED_POLL_MILLIS = 5;

export class Store {
  constructor() {
    this.version = 0;
    this.rows = new Map();
    this.startedAt = performance.now();
    this.server = createServer((request, response) =>
      this.handle(request, response).catch(() => response.destroy())
    );
  }

  async listen() {
    await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${this.server.address().port}`;
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes a row as JSON, or removes it where `value` is undefined. */
  put(table, key, value) {
    this.write([{ table, part: "", key, value: value && encode(value) }]);
  }

  write(rows) {
    this.version++;
    for (const { table, part, key, value } of rows) {
      this.rows.set(JSON.stringify([table, part, key]), {
        table,
        part,
        key,
        value,
        ver: this.version,
      });
    }
  }

  async handle(request, response) {
    const url = new URL(request.url, "http://store");
    const query = url.searchParams;
    response.setHeader("Store-Era", "1");
    switch (url.pathname) {
      case "/bamboolane/rows-get":
        return this.get(query, response);
      case "/bamboolane/rows-feed":
        return await this.feed(query, response);
      case "/bamboolane/rows-tx":
        return await this.transact(request, response);
      default:
        response.writeHead(404).end();
    }
  }

  get(query, response) {
    const limit = Math.min(
      MAX_PAGE_ROWS,
      Number(query.get("limit") ?? Infinity),
    );
    const from = query.get("from") ?? "";
    const to = query.get("to");
    const rows = [...this.rows.values()].filter((row) =>
      row.table === query.get("table") &&
      row.part === (query.get("part") ?? "") && row.value !== undefined &&
      row.key >= from && (to === null || row.key < to)
    ).sort((a, b) => a.key < b.key ? -1 : 1);
    this.answer(response, 200, {
      rows: rows.slice(0, limit),
      truncated: rows.length > limit,
    });
  }

  async feed(query, response) {
    const after = Number(query.get("after"));
    const endAt = performance.now() + Number(query.get("wait_ms"));
    while (true) {
      const rows = [...this.rows.values()].filter((row) =>
        row.table === query.get("table") && row.ver > after
      ).sort((a, b) => a.ver - b.ver);
      if (rows.length > 0 || performance.now() >= endAt) {
        return this.answer(response, 200, {
          rows: rows.map((row) =>
            row.value === undefined ? { ...row, tombstone: true } : row
          ),
        });
      }
      await new Promise((resolve) => setTimeout(resolve, FEED_POLL_MILLIS));
      if (response.destroyed) return;
    }
  }

  async transact(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const { precondition = [], puts = [], remove = [] } = JSON.parse(
      Buffer.concat(chunks).toString(),
    );
    const current = precondition.map(({ table, part, key }) =>
      this.rows.get(JSON.stringify([table, part ?? "", key]))
    );
    const holds = precondition.every(({ ver }, i) =>
      ver === (current[i]?.value === undefined ? 0 : current[i].ver)
    );
    if (!holds) {
      return this.answer(response, 412, { rows: current.filter(Boolean) });
    }
    const written = [...puts, ...remove].filter(({ table }) =>
      table === "op" || table === "servers"
    );
    if (written.length > 0) return response.writeHead(403).end();
    this.write([
      ...puts.map((row) => ({ ...row, part: row.part ?? "" })),
      ...remove.map((row) => ({
        ...row,
        part: row.part ?? "",
        value: undefined,
      })),
    ]);
    this.answer(response, 200, {});
  }

  answer(response, status, body) {
    const now = `${Math.round(performance.now() - this.startedAt)}ms`;
    response.writeHead(status, { "Content-Type": "application/json" });
    response.end(JSON.stringify({ ...body, ver: this.version, now }));
  }
}

function encode(value) {
  return Buffer.from(JSON.stringify(value)).toString("base64");
}
