/**
 * A target on a raw socket that answers each request as a test says, so that
 * answers can be cut, doubled, spoiled or lost.
 */
import { createServer, type Server, type Socket } from "node:net";

/** A request as the target saw it. */
export interface ReceivedRequest {
  method: string;
  path: string;
  headers: Record<string, string>;
  body: string;
  /** Number of the connection that it came on. */
  connection: number;
}

/** What the target does with one request. */
export type Script = (
  request: ReceivedRequest,
  socket: Socket,
) => void | Promise<void>;

/** A listening target. */
export interface ScriptedTarget {
  address: string;
  received: ReceivedRequest[];
  /** Requests whose connection the gateway closed before an answer. */
  abortedCount: () => number;
  close(): Promise<void>;
}

/** An answer with a length. */
export function formatResponse(
  status: number,
  headers: Record<string, string>,
  body: string,
): string {
  const lines = Object.entries(headers).map(([name, value]) =>
    `${name}: ${value}\r\n`
  );
  return `HTTP/1.1 ${status} X\r\n${lines.join("")}` +
    `Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
}

/**
 * Starts a target; `script` may be replaced by assigning to `run.script`. With
 * `early` the script runs as soon as the head is in, and the body is read on.
 */
export async function startScriptedTarget(
  run: { script: Script; respondOnHead?: boolean },
): Promise<ScriptedTarget> {
  const seen: ReceivedRequest[] = [];
  const sockets = new Set<Socket>();
  let connections = 0;
  let dropped = 0;
  const server: Server = createServer((socket) => {
    const connection = ++connections;
    let text = "";
    let open = 0;
    let answeredEarly = false;
    const start = (request: ReceivedRequest) => {
      open++;
      Promise.resolve(run.script(request, socket)).then(() => open--);
    };
    sockets.add(socket);
    socket.on("error", () => socket.destroy());
    socket.on("close", () => {
      sockets.delete(socket);
      dropped += open;
    });
    socket.on("data", (chunk) => {
      text += chunk.toString("latin1");
      const head = run.respondOnHead && !answeredEarly
        ? parse(text, connection, { headOnly: true })
        : undefined;
      if (head !== undefined) {
        answeredEarly = true;
        start(head.request);
      }
      const parsed = parse(text, connection);
      if (parsed === undefined) return;
      text = parsed.rest;
      seen.push(parsed.request);
      if (run.respondOnHead) answeredEarly = false;
      else start(parsed.request);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as { port: number };
  return {
    address: `127.0.0.1:${port}`,
    received: seen,
    abortedCount: () => dropped,
    close: () =>
      new Promise((resolve) => {
        for (const socket of sockets) socket.destroy();
        server.close(() => resolve());
      }),
  };
}

/** Parses one request with a declared length or none; with `headOnly` its head. */
function parse(
  text: string,
  connection: number,
  options: { headOnly?: boolean } = {},
): { request: ReceivedRequest; rest: string } | undefined {
  const end = text.indexOf("\r\n\r\n");
  if (end < 0) return undefined;
  const [first, ...lines] = text.slice(0, end).trimStart().split("\r\n");
  const [method, path] = first.split(" ");
  const headers: Record<string, string> = {};
  for (const header of lines) {
    const colon = header.indexOf(":");
    headers[header.slice(0, colon).toLowerCase()] = header.slice(colon + 1)
      .trim();
  }
  const length = Number(headers["content-length"] ?? 0);
  const body = text.slice(end + 4, end + 4 + length);
  if (body.length < length && !options.headOnly) return undefined;
  return {
    request: { method, path, headers, body, connection },
    rest: text.slice(end + 4 + length),
  };
}
