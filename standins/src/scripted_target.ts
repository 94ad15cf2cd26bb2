/**
 * Target stand-in on a raw socket that handles each request with a test's script,
 * so that responses can be truncated, duplicated, corrupted or lost.
 */
import { createServer, type Server, type Socket } from "node:net";

/** A request as the target received it. */
export interface ReceivedRequest {
  method: string;
  path: string;
  headers: Record<string, string>;
  body: string;
  /** Number of the connection that carried the request, counted from 1. */
  connection: number;
}

/** Handles one request and writes its response to the socket. */
export type Script = (
  request: ReceivedRequest,
  socket: Socket,
) => void | Promise<void>;

/** A running scripted target. */
export interface ScriptedTarget {
  address: string;
  received: ReceivedRequest[];
  /** Number of requests whose connection closed before their script completed. */
  abortedCount: () => number;
  close(): Promise<void>;
}

/** Formats a response with a `Content-Length` header. */
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
 * Starts a target; the script may be replaced by assigning to
 * `behaviour.script`. With `respondOnHead` the script runs once the request
 * head is received, while the body is still being read.
 */
export async function startScriptedTarget(
  behaviour: { script: Script; respondOnHead?: boolean },
): Promise<ScriptedTarget> {
  const received: ReceivedRequest[] = [];
  const sockets = new Set<Socket>();
  let connections = 0;
  let aborted = 0;
  const server: Server = createServer((socket) => {
    const connection = ++connections;
    let text = "";
    let pendingRequests = 0;
    let headHandled = false;
    const runScript = (request: ReceivedRequest) => {
      pendingRequests++;
      Promise.resolve(behaviour.script(request, socket)).then(() =>
        pendingRequests--
      );
    };
    sockets.add(socket);
    socket.on("error", () => socket.destroy());
    socket.on("close", () => {
      sockets.delete(socket);
      aborted += pendingRequests;
    });
    socket.on("data", (chunk) => {
      text += chunk.toString("latin1");
      const head = behaviour.respondOnHead && !headHandled
        ? parseRequest(text, connection, { headOnly: true })
        : undefined;
      if (head !== undefined) {
        headHandled = true;
        runScript(head.request);
      }
      const parsed = parseRequest(text, connection);
      if (parsed === undefined) return;
      text = parsed.rest;
      received.push(parsed.request);
      if (behaviour.respondOnHead) headHandled = false;
      else runScript(parsed.request);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as { port: number };
  return {
    address: `127.0.0.1:${port}`,
    received,
    abortedCount: () => aborted,
    close: () =>
      new Promise((resolve) => {
        for (const socket of sockets) socket.destroy();
        server.close(() => resolve());
      }),
  };
}

/** Parses one request, or only its head with `headOnly`; undefined if incomplete. */
function parseRequest(
  text: string,
  connection: number,
  options: { headOnly?: boolean } = {},
): { request: ReceivedRequest; rest: string } | undefined {
  const end = text.indexOf("\r\n\r\n");
  if (end < 0) return undefined;
  const [requestLine, ...lines] = text.slice(0, end).trimStart().split("\r\n");
  const [method, path] = requestLine.split(" ");
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
