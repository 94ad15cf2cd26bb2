/**
 * Callers that write requests to a connection byte by byte, so that these can overlap
 * with answers and with the end of the connection.
 */
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { pause, world } from "./scenario.ts";
import { until } from "./test_gateway.ts";

/** Time in which a caller must see the end of its connection. */
const CLOSE_TIMEOUT_MILLIS = 4000;

/** A caller on a raw connection; `text` is all that it read. */
export interface RawCaller {
  socket: Socket;
  sentIds: string[];
  text: string;
  error: NodeJS.ErrnoException | undefined;
  closed: boolean;
}

/** The callers of the scenario. */
export const raw = { callers: [] as RawCaller[] };

let nextId = 0;

/** Connects to an entry. */
export function connectTo(entry: string): RawCaller {
  const [host, port] = world.system.settings(entry).listen.callers.split(":");
  const caller: RawCaller = {
    socket: connect({ host, port: Number(port) }),
    sentIds: [],
    text: "",
    error: undefined,
    closed: false,
  };
  caller.socket.on("data", (chunk) => caller.text += chunk.toString("latin1"));
  caller.socket.on("error", (error) => caller.error = error);
  caller.socket.once("close", () => caller.closed = true);
  return caller;
}

/** Sends one request; more may follow before its answer. */
export function send(
  caller: RawCaller,
  path: string,
  options: { method?: string; headers?: string; body?: string } = {},
): void {
  const { method = "GET", headers = "", body = "" } = options;
  const id = `raw-${nextId++}`;
  caller.sentIds.push(id);
  caller.socket.write(
    `${method} ${path} HTTP/1.1\r\nHost: test.example\r\n` +
      `Test-Request: ${id}\r\nTest-Deadline: 15000\r\n${headers}\r\n${body}`,
  );
}

/** Waits until the entry has closed the connection. */
export async function untilClosed(caller: RawCaller): Promise<void> {
  const endMillis = performance.now() + CLOSE_TIMEOUT_MILLIS;
  while (!caller.closed) {
    assert.ok(performance.now() < endMillis, "the connection is not closed");
    await pause(5);
  }
}

/** The heads of the answers that a caller read, in order. */
export function answersOf(caller: RawCaller): string[] {
  return caller.text.split(/(?=HTTP\/1\.1 \d)/).filter((text) => text !== "");
}

/** Waits until each caller has read `count` answers. */
export async function untilAnswered(
  callers: readonly RawCaller[],
  count: number,
): Promise<void> {
  const isAnswered = () =>
    callers.every((caller) => answersOf(caller).length === count);
  await until(isAnswered, `${count} answers for each caller`);
}

/** Status of one of the {@link answersOf}. */
export function statusOf(answer: string): number {
  return Number(answer.slice(9, 12));
}

/** True if an answer announces the close of its connection. */
export function announcesClose(answer: string | undefined): boolean {
  return /^connection: close\r$/im.test(answer ?? "");
}

/** Connects callers to an entry, each of which sends one POST request. */
export function post(count: number, entry: string, path: string): void {
  raw.callers = Array.from({ length: count }, () => connectTo(entry));
  for (const caller of raw.callers) {
    send(caller, path, { method: "POST", headers: "Content-Length: 0\r\n" });
  }
}
