/**
 * Steps for what callers have sent and an entry has not read.
 */
import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { CallerConnection } from "@bamboolane/gateway/caller_connection";
import {
  connectTo,
  raw,
  type RawCaller,
  send,
  untilAnswered,
  untilClosed,
} from "./support/raw_caller.ts";
import {
  call,
  gatewayOf,
  lastReply,
  pause,
  world,
} from "./support/scenario.ts";

const SETTLE_MILLIS = 100;
/** Less than the time for a head. */
const SILENT_MILLIS = 1500;
/** The idle timeout, and what Node.js adds to it. */
const IDLE_MILLIS = 6000;
const LIMITS_MILLIS = 600;
const PAUSE_MILLIS = 400;
/** Exceeds the time of a stop. */
const FORWARD_DEADLINE_MILLIS = 4500;
const BODY = "0123456789";

/** Runs an action while connections that pause are not read again. */
async function whilePaused(
  entry: string,
  action: () => Promise<void>,
): Promise<void> {
  const { resumeInput } = CallerConnection.prototype;
  CallerConnection.prototype.resumeInput = () => {};
  try {
    await gatewayOf(entry).pacer.acceptWaiting({
      maxMillis: 0,
      hasRoom: () => false,
    });
    await action();
  } finally {
    CallerConnection.prototype.resumeInput = resumeInput;
  }
}

function sendHalf(caller: RawCaller): void {
  send(caller, "/write/x", {
    method: "POST",
    headers: `Content-Length: ${BODY.length}\r\n`,
    body: BODY.slice(0, 5),
  });
}

When(
  "{int} callers of {string} send the rest of a body each while it reads nothing, and {string} stops",
  async (count: number, entry: string, stopping: string) => {
    raw.callers = Array.from({ length: count }, () => connectTo(entry));
    raw.callers.forEach(sendHalf);
    await pause(SETTLE_MILLIS);
    await whilePaused(entry, async () => {
      for (const { socket } of raw.callers) socket.write(BODY.slice(5));
      await gatewayOf(stopping).stop();
    });
    await Promise.all(raw.callers.map(untilClosed));
  },
);

When(
  "{int} callers of {string} send half a body each, and {string} stops",
  async (count: number, entry: string, stopping: string) => {
    raw.callers = Array.from({ length: count }, () => connectTo(entry));
    raw.callers.forEach(sendHalf);
    await pause(SETTLE_MILLIS);
    await gatewayOf(stopping).stop();
    await Promise.all(raw.callers.map(untilClosed));
  },
);

When(
  "{int} callers of {string} send half a head each, and {string} stops",
  async (count: number, entry: string, stopping: string) => {
    raw.callers = Array.from({ length: count }, () => connectTo(entry));
    for (const { socket } of raw.callers) {
      socket.write("GET /read/x HTTP/1.1\r\nHost: test.example\r\n");
    }
    await pause(SETTLE_MILLIS);
    await gatewayOf(stopping).stop();
    await Promise.all(raw.callers.map(untilClosed));
  },
);

When(
  "another caller of {string} posts {string}, and {string} stops before it reads that",
  (entry: string, path: string, stopping: string) =>
    whilePaused(stopping, async () => {
      const reply = call(entry, path, {
        method: "POST",
        body: BODY,
        deadlineMillis: FORWARD_DEADLINE_MILLIS,
      });
      await pause(SETTLE_MILLIS);
      await gatewayOf(stopping).stop();
      world.replies.push(await reply);
    }),
);

Then(
  "that caller got a 503 with a Retry-After, and its request reached no target",
  () => {
    const { status, headers, body } = lastReply();
    assert.equal(status, 503, body);
    assert.ok(Number(headers["retry-after"]) > 0);
    const received = [...world.system.targets.values()]
      .flatMap((target) => target.received);
    const ids = received.map((request) => request.headers["test-request"]);
    assert.ok(!ids.includes(String(headers["sent-id"])), ids.join());
  },
);

When(
  "a caller of {string} sends a request and half of another head in {int} writes, and the rest {int} ms after {string} closed idle connections",
  async (entry: string, writes: number, millis: number, stopping: string) => {
    const caller = connectTo(entry);
    raw.callers = [caller];
    const head = (id: string) =>
      `GET /read/x HTTP/1.1\r\nHost: test.example\r\nTest-Request: ${id}\r\n`;
    caller.sentIds.push("a", "b");
    caller.socket.setNoDelay();
    if (writes === 1) caller.socket.write(`${head("a")}\r\n${head("b")}`);
    else {
      caller.socket.write(`${head("a")}\r\n`);
      await untilAnswered([caller], 1);
      caller.socket.write(head("b"));
    }
    await untilAnswered([caller], 1);
    const stopped = gatewayOf(stopping).stop();
    await pause(1500 + millis);
    caller.socket.write("\r\n");
    await stopped;
    await untilClosed(caller);
  },
);

When(
  "{int} callers of {string} send a request each, and another one in a pause in which their connections expire",
  { timeout: 12_000 },
  async (count: number, entry: string) => {
    // The limits are applied shortly after the start.
    await pause(LIMITS_MILLIS);
    raw.callers = Array.from({ length: count }, () => connectTo(entry));
    for (const caller of raw.callers) send(caller, "/read/x");
    await untilAnswered(raw.callers, 1);
    await pause(IDLE_MILLIS - PAUSE_MILLIS / 2);
    await whilePaused(entry, async () => {
      for (const caller of raw.callers) send(caller, "/read/x");
      await pause(PAUSE_MILLIS);
    });
    await gatewayOf(entry).pacer.acceptWaiting({
      maxMillis: 0,
      hasRoom: () => false,
    });
    await pause(SETTLE_MILLIS);
  },
);

When(
  "{int} silent connections to {string} are open and another caller sends {int} requests",
  async (silent: number, entry: string, count: number) => {
    raw.callers = Array.from({ length: silent }, () => connectTo(entry));
    await pause(SILENT_MILLIS);
    world.replies = [];
    for (let i = 0; i < count; i++) {
      world.replies.push(await call(entry, "/read/x"));
      await pause(50);
    }
    for (const { socket } of raw.callers) socket.destroy();
  },
);

When(
  "a caller of {string} pipelines a request and a CONNECT",
  async (entry: string) => {
    const caller = connectTo(entry);
    raw.callers = [caller];
    send(caller, "/read/x");
    caller.socket.write("CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n");
    await untilClosed(caller);
  },
);

When(
  "a caller of {string} pipelines {int} requests, and {string} stops while it reads nothing",
  async (entry: string, count: number, stopping: string) => {
    const caller = connectTo(entry);
    raw.callers = [caller];
    for (let i = 0; i < count; i++) send(caller, "/batch/x");
    await pause(SETTLE_MILLIS);
    await whilePaused(entry, () => gatewayOf(stopping).stop());
    await untilClosed(caller);
  },
);

Then("the other caller was served", () => {
  const statuses = world.replies.map(({ status }) => status);
  assert.deepEqual(statuses, statuses.map(() => 200));
});
