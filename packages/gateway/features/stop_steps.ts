/**
 * Steps for callers that keep using their connections while an entry stops.
 */
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { Before, Given, Then, When } from "@cucumber/cucumber";
import { StallMonitor } from "@bamboolane/gateway/stall_monitor";
import {
  call,
  gatewayOf,
  lastReply,
  pause,
  world,
} from "./support/scenario.ts";

const REQUEST_HEAD = "GET /read/x HTTP/1.1\r\nHost: test.example\r\n" +
  "Test-Deadline: 1500\r\nTest-Request: ";
const CONNECT_INTERVAL_MILLIS = 10;

/** A caller on one connection. */
interface OpenCaller {
  sent: number;
  answers: string[];
  closed: boolean;
}

let openCallers: OpenCaller[] = [];
let nextId = 0;

Before(() => {
  openCallers = [];
});

function connectTo(entry: string): { socket: Socket; caller: OpenCaller } {
  const [host, port] = world.system.settings(entry).listen.callers.split(":");
  const socket = connect({ host, port: Number(port) });
  const caller: OpenCaller = { sent: 0, answers: [], closed: false };
  socket.on("data", (chunk) => {
    for (const answer of chunk.toString().split(/(?=HTTP\/1\.1 )/)) {
      caller.answers.push(answer);
    }
  });
  socket.on("error", () => {});
  socket.once("close", () => caller.closed = true);
  return { socket, caller };
}

function send(socket: Socket, caller: OpenCaller): void {
  caller.sent++;
  socket.write(`${REQUEST_HEAD}open-${nextId++}\r\n\r\n`);
}

function announcesClose(caller: OpenCaller): boolean {
  return /connection: close/i.test(caller.answers.at(-1) ?? "");
}

/** Sends one request after another until the connection is closed. */
async function sendUntilClosed(entry: string): Promise<void> {
  const { socket, caller } = connectTo(entry);
  openCallers.push(caller);
  while (!caller.closed && !announcesClose(caller)) {
    send(socket, caller);
    const { sent } = caller;
    while (!caller.closed && caller.answers.length < sent) await pause(2);
    await pause(Math.random() * 20);
  }
  while (!caller.closed) await pause(2);
}

When(
  "{int} callers of {string} send one request after another on open connections, and {string} stops after {int} ms",
  async (count: number, entry: string, stopping: string, millis: number) => {
    const callers = Array.from(
      { length: count },
      () => sendUntilClosed(entry),
    );
    await pause(millis);
    await gatewayOf(stopping).stop();
    await Promise.all(callers);
  },
);

When(
  "a caller of {string} sends half a head, and the rest {int} ms after {string} began to stop",
  async (entry: string, millis: number, stopping: string) => {
    const { socket, caller } = connectTo(entry);
    openCallers.push(caller);
    caller.sent++;
    socket.write(REQUEST_HEAD);
    await pause(100);
    const stopped = gatewayOf(stopping).stop();
    await pause(millis);
    socket.write("halves\r\n\r\n");
    await stopped;
  },
);

When(
  "a caller of {string} gets {string} after {string} began to stop",
  async (entry: string, path: string, stopping: string) => {
    const stopped = gatewayOf(stopping).stop();
    world.replies.push(await call(entry, path));
    await stopped;
  },
);

Given(
  "an entry {string} with a grace period of {int} s",
  (id: string, seconds: number) =>
    world.system.addEntry(id, { graceMillis: seconds * 1000 }),
);

When(
  "callers of {string} connect until it refuses connections, and each sends a request {int} ms later",
  async (entry: string, millis: number) => {
    const stopped = gatewayOf(entry).stop();
    const requests: Promise<void>[] = [];
    let refused = false;
    while (!refused) {
      const { socket, caller } = connectTo(entry);
      socket.once("error", (error: NodeJS.ErrnoException) => {
        if (error.code === "ECONNREFUSED") refused = true;
      });
      socket.once("connect", () => {
        openCallers.push(caller);
        requests.push(pause(millis).then(() => send(socket, caller)));
      });
      await pause(CONNECT_INTERVAL_MILLIS);
    }
    await Promise.all(requests);
    await stopped;
    await pause(50);
  },
);

/** Whether the answer had arrived when each stop ended. */
let answeredAtStopEnd: boolean[] = [];

When(
  "{string} is stopped twice while a caller waits for {string}",
  async (entry: string, path: string) => {
    answeredAtStopEnd = [];
    let answered = false;
    const waiting = call(entry, path).then((reply) => {
      answered = true;
      world.replies.push(reply);
    });
    await pause(100);
    const stops: Promise<void>[] = [];
    for (let i = 0; i < 2; i++) {
      stops.push(
        gatewayOf(entry).stop().then(() => {
          answeredAtStopEnd.push(answered);
        }),
      );
      await pause(50);
    }
    await Promise.all([waiting, ...stops]);
  },
);

Then("each stop ended after the answer", () => {
  assert.deepEqual(answeredAtStopEnd, [true, true]);
});

Then("the caller got a {int} that closes the connection", (status: number) => {
  const [caller] = openCallers;
  assert.equal(caller.answers.length, 1);
  assert.ok(caller.answers[0].startsWith(`HTTP/1.1 ${status} `));
  assert.ok(announcesClose(caller), caller.answers[0]);
});

Then(
  "each request was answered, and each connection was closed after an answer that announced it",
  () => {
    assert.ok(openCallers.length > 0);
    const cutOff = openCallers.filter((caller) =>
      caller.sent !== caller.answers.length || !announcesClose(caller)
    );
    assert.deepEqual(cutOff, [], `of ${openCallers.length} callers`);
  },
);

When(
  "{string} stops while a read that was sent waits for its next send",
  async (entry: string) => {
    const { isCatchingUp } = StallMonitor.prototype;
    // After a stall, requests wait until their callers' closes have been read.
    StallMonitor.prototype.isCatchingUp = () => true;
    try {
      const reply = call(entry, "/read/x");
      await pause(100);
      assert.equal(world.system.receivedCount, 1);
      await gatewayOf(entry).stop();
      world.replies.push(await reply);
    } finally {
      StallMonitor.prototype.isCatchingUp = isCatchingUp;
    }
  },
);

Then("the read is answered with {int}", (status: number) => {
  assert.equal(lastReply().status, status);
});
