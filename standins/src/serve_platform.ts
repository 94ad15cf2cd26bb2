/**
 * Platform stand-in over HTTP with faults that a test switches on: outage, delay,
 * responses lost after the write took effect, a stale instance list.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { PlatformStore } from "./platform_store.ts";

/** Faults that are active; calls of `/control/` are not affected. */
export interface PlatformFaults {
  /** Every call gets status 503. */
  outage: boolean;
  /** Delay before each call is processed. Unit: milliseconds. */
  delayMillis: number;
  /** Number of further transactions that are processed without a response. */
  loseAnswers: number;
  /** Updates of the instance list are ignored. */
  staleList: boolean;
}

/** A running platform stand-in. */
export interface PlatformStandin {
  url: string;
  store: PlatformStore;
  faults: PlatformFaults;
  close(): Promise<void>;
}

async function readBody(request: IncomingMessage): Promise<Uint8Array> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of request) chunks.push(chunk);
  const joined = new Uint8Array(
    chunks.reduce((sum, c) => sum + c.byteLength, 0),
  );
  let offset = 0;
  for (const chunk of chunks) {
    joined.set(chunk, offset);
    offset += chunk.byteLength;
  }
  return joined;
}

function send(response: ServerResponse, value: unknown): void {
  response.writeHead(200, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}

function delay(millis: number): Promise<void> {
  return millis <= 0
    ? Promise.resolve()
    : new Promise((r) => setTimeout(r, millis));
}

/** Starts the stand-in at `address` (`host:port`; port 0 selects a free one). */
export function servePlatform(address: string): Promise<PlatformStandin> {
  const store = new PlatformStore();
  const faults: PlatformFaults = {
    outage: false,
    delayMillis: 0,
    loseAnswers: 0,
    staleList: false,
  };

  async function handleTable(
    path: string,
    body: Uint8Array,
    response: ServerResponse,
  ) {
    const query = JSON.parse(new TextDecoder().decode(body));
    switch (path) {
      case "/table/read":
        return send(response, store.read(query.keys));
      case "/table/scan":
        return send(
          response,
          store.scan(query.prefix, query.after, query.limit),
        );
      case "/table/transact": {
        const result = store.transact(query.writes, query.checks ?? []);
        if (faults.loseAnswers > 0) {
          faults.loseAnswers--;
          return response.destroy();
        }
        return send(response, result);
      }
      default:
        response.writeHead(404).end();
    }
    await Promise.resolve();
  }

  function handleObject(
    request: IncomingMessage,
    body: Uint8Array,
    response: ServerResponse,
  ) {
    const hash = (request.url ?? "").slice("/objects/".length);
    if (request.method === "PUT") {
      store.putObject(hash, body);
      return send(response, { stored: true });
    }
    const content = store.getObject(hash);
    if (content === undefined) return response.writeHead(404).end();
    response.writeHead(200, { "content-type": "application/octet-stream" });
    response.end(content);
  }

  function handleControl(
    path: string,
    method: string,
    body: Uint8Array,
    response: ServerResponse,
  ) {
    if (path === "/control/faults") {
      Object.assign(faults, JSON.parse(new TextDecoder().decode(body)));
      return send(response, faults);
    }
    if (path === "/control/instances" && method === "PUT") {
      if (!faults.staleList) {
        store.instances = JSON.parse(new TextDecoder().decode(body));
      }
      return send(response, { stored: true });
    }
    if (path === "/control/counts") {
      return send(response, { reads: store.reads, writes: store.writes });
    }
    response.writeHead(404).end();
  }

  async function handle(request: IncomingMessage, response: ServerResponse) {
    const path = request.url ?? "/";
    const body = await readBody(request);
    if (path.startsWith("/control/")) {
      return handleControl(path, request.method ?? "GET", body, response);
    }
    await delay(faults.delayMillis);
    if (faults.outage) return response.writeHead(503).end();
    if (path.startsWith("/table/")) {
      return await handleTable(path, body, response);
    }
    if (path.startsWith("/objects/")) {
      return handleObject(request, body, response);
    }
    if (path === "/instances") return send(response, store.instances);
    response.writeHead(404).end();
  }

  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  const [host, port] = address.split(":");
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(Number(port), host, () => {
      const bound = server.address() as { port: number };
      resolve({
        url: `http://${host}:${bound.port}`,
        store,
        faults,
        close: () =>
          new Promise((done) => {
            server.close(() => done());
            server.closeAllConnections();
          }),
      });
    });
  });
}
