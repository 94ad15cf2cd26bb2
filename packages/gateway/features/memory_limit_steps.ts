/**
 * Steps for the memory and the descriptors that a process holds for others.
 */
import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import process from "node:process";
import { PassThrough } from "node:stream";
import { Given, Then, When } from "@cucumber/cucumber";
import { MemoryBudget } from "@bamboolane/gateway/memory_budget";
import { readBody } from "@bamboolane/gateway/read_request";
import {
  announcesClose,
  answersOf,
  connectTo,
  raw,
  send,
  statusOf,
} from "./support/raw_caller.ts";
import { call, gatewayOf, pause, world } from "./support/scenario.ts";
import { testConfig, until } from "./support/test_gateway.ts";

const BYTES_PER_KILOBYTE = 1000;
/** Longer than what a connection of the system itself holds. */
const ANSWER_TIMEOUT_MILLIS = 15_000;
const POLL_MILLIS = 20;
/** Lines of the log that a failure shows. */
const LAST_LINES = 10;
/** A later revision than that of other steps. */
const REVISION = 20;
const HALF_BODY = "01234";
/** Time in which the pieces of slow trailers come. */
const TRAILER_PIECES = 20;
const TRAILER_INTERVAL_MILLIS = 60;

Given(
  "an entry {string} that may open {int} sockets",
  (id: string, maxSockets: number) => world.system.addEntry(id, { maxSockets }),
);

Given("idle callers are waited for {int} ms", (idleTimeoutMillis: number) => {
  const config = testConfig(REVISION);
  world.system.publish({
    ...config,
    limits: { ...config.limits, idleTimeoutMillis },
  });
});

Given(
  "an entry {string} with {int} kB of memory that may open {int} sockets",
  (id: string, kilobytes: number, maxSockets: number) =>
    world.system.addEntry(id, {
      memoryBytes: kilobytes * BYTES_PER_KILOBYTE,
      maxSockets,
    }),
);

function connectCallers(count: number, entry: string): void {
  raw.callers = Array.from({ length: count }, () => connectTo(entry));
}

/** Fields of a head that take about as many bytes. */
function padding(bytes: number): string {
  const field = `Test-Padding: ${"p".repeat(82)}\r\n`;
  return field.repeat(Math.floor(bytes / field.length));
}

When(
  "{int} callers of {string} pipeline {int} requests with heads of {int} kB for {string}",
  (
    callers: number,
    entry: string,
    requests: number,
    kilobytes: number,
    path: string,
  ) => {
    connectCallers(callers, entry);
    const headers = padding(kilobytes * BYTES_PER_KILOBYTE);
    for (const caller of raw.callers) {
      for (let i = 0; i < requests; i++) send(caller, path, { headers });
    }
  },
);

When(
  "{int} callers of {string} pipeline {int} requests for {string}, and read no answers",
  (callers: number, entry: string, requests: number, path: string) => {
    connectCallers(callers, entry);
    for (const caller of raw.callers) {
      caller.socket.pause();
      for (let i = 0; i < requests; i++) send(caller, path);
    }
  },
);

When(
  "{int} callers of {string} send {int} kB of a head that they don't complete",
  (callers: number, entry: string, kilobytes: number) => {
    connectCallers(callers, entry);
    const fields = padding(kilobytes * BYTES_PER_KILOBYTE);
    for (const { socket } of raw.callers) {
      socket.write(`GET /read/x HTTP/1.1\r\nHost: test.example\r\n${fields}`);
    }
  },
);

When(
  "{int} callers of {string} send {int} of {int} kB of a body for {string} and stop",
  (
    callers: number,
    entry: string,
    sentKilobytes: number,
    kilobytes: number,
    path: string,
  ) => {
    connectCallers(callers, entry);
    for (const caller of raw.callers) {
      send(caller, path, {
        method: "POST",
        headers: `Content-Length: ${kilobytes * BYTES_PER_KILOBYTE}\r\n`,
        body: "b".repeat(sentKilobytes * BYTES_PER_KILOBYTE),
      });
    }
  },
);

When(
  "{int} callers connect to {string}, and the last {int} of them send a request for {string}",
  async (callers: number, entry: string, last: number, path: string) => {
    raw.callers = [];
    for (let i = 0; i < callers; i++) {
      const caller = connectTo(entry);
      raw.callers.push(caller);
      // One after another, so that all of them are accepted.
      if (i % 20 === 0) await pause(POLL_MILLIS);
    }
    await until(
      () => raw.callers.every(({ socket }) => !socket.connecting),
      "all callers are connected",
    );
    for (const caller of raw.callers.slice(-last)) send(caller, path);
  },
);

When(
  "a caller of {string} gets {string} and sends half of a body for {string}, and the rest after {int} ms",
  async (entry: string, first: string, second: string, millis: number) => {
    connectCallers(1, entry);
    const [caller] = raw.callers;
    send(caller, first);
    send(caller, second, {
      method: "POST",
      headers: `Content-Length: ${2 * HALF_BODY.length}\r\n`,
      body: HALF_BODY,
    });
    await pause(millis);
    caller.socket.write(HALF_BODY);
  },
);

When(
  "a caller of {string} gets {string} and sends {int} kB for {string}",
  (entry: string, first: string, kilobytes: number, second: string) => {
    connectCallers(1, entry);
    const [caller] = raw.callers;
    const bytes = kilobytes * BYTES_PER_KILOBYTE;
    send(caller, first);
    send(caller, second, {
      method: "POST",
      headers: `Content-Length: ${bytes}\r\n`,
      body: "b".repeat(bytes),
    });
  },
);

When(
  "{int} callers of {string} send a body for {string} with {int} kB of trailers, slowly",
  { timeout: ANSWER_TIMEOUT_MILLIS },
  async (callers: number, entry: string, path: string, kilobytes: number) => {
    connectCallers(callers, entry);
    for (const caller of raw.callers) {
      const headers = "Transfer-Encoding: chunked\r\n";
      const body = "1\r\nb\r\n0\r\n";
      send(caller, path, { method: "POST", headers, body });
    }
    const piece = padding(kilobytes * BYTES_PER_KILOBYTE / TRAILER_PIECES);
    for (let i = 0; i < TRAILER_PIECES; i++) {
      for (const { socket } of raw.callers) socket.write(piece);
      await pause(TRAILER_INTERVAL_MILLIS);
    }
  },
);

Then(
  "the caller's answers are {int} and {int}",
  async (first: number, second: number) => {
    const [caller] = raw.callers;
    await until(() => caller.closed, "the connection is closed");
    assert.deepEqual(answersOf(caller).map(statusOf), [first, second]);
  },
);

Then("only the first of its requests reached a target", () => {
  const received = [...world.system.targets.values()]
    .flatMap((target) => target.received);
  const ids = received.map(({ headers }) => headers["test-request"]);
  assert.deepEqual(ids, [raw.callers[0].sentIds[0]]);
});

/** True for a 503 that names a time for the next try. */
export function isRefusal(answer: string): boolean {
  return statusOf(answer) === 503 && /^retry-after: /im.test(answer);
}

function refusalCount(): number {
  return raw.callers.filter((caller) => answersOf(caller).some(isRefusal))
    .length;
}

Then(
  "some of the requests are refused with 503 and a Retry-After within {int} ms",
  async (millis: number) => {
    const endMillis = performance.now() + millis;
    while (refusalCount() === 0) {
      assert.ok(performance.now() < endMillis, "none is refused");
      await pause(POLL_MILLIS);
    }
  },
);

Then(
  "{int} of them are refused with 503 and a Retry-After, and the others are served",
  async (count: number) => {
    await until(
      () =>
        raw.callers.every((caller) =>
          answersOf(caller).length === caller.sentIds.length
        ),
      "each caller has an answer",
    );
    const others = raw.callers.flatMap(answersOf)
      .filter((answer) => !isRefusal(answer));
    assert.equal(refusalCount(), count);
    assert.deepEqual(
      new Set(others.map(statusOf)),
      new Set([200]),
    );
  },
);

Then("each refusal names the lack of a descriptor", () => {
  const refusals = raw.callers.flatMap(answersOf).filter(isRefusal);
  for (const refusal of refusals) {
    assert.ok(refusal.endsWith("\r\n\r\nno-descriptor\n"), refusal);
  }
});

/** Waits until each caller's last answer is as wanted, or its connection closed. */
async function untilAnswered(
  isWanted: (answer: string) => boolean,
): Promise<void> {
  const endMillis = performance.now() + ANSWER_TIMEOUT_MILLIS;
  const isAnswered = (caller: typeof raw.callers[number]) =>
    answersOf(caller).length === caller.sentIds.length || caller.closed;
  while (!raw.callers.every(isAnswered)) {
    assert.ok(performance.now() < endMillis, "a caller still waits");
    await pause(POLL_MILLIS);
  }
  for (const caller of raw.callers) {
    const last = answersOf(caller).at(-1);
    assert.ok(last !== undefined && isWanted(last), last);
  }
}

Then(
  "each caller has all answers or one that closes the connection",
  { timeout: 20_000 },
  async () => {
    await untilAnswered((answer) =>
      statusOf(answer) === 200 || isRefusal(answer)
    );
    for (const caller of raw.callers) {
      const answers = answersOf(caller);
      if (answers.length < caller.sentIds.length) {
        assert.ok(announcesClose(answers.at(-1)), answers.at(-1));
      }
    }
  },
);

Then(
  "the memory of {string} is within its limit after {int} ms",
  async (entry: string, millis: number) => {
    await pause(millis);
    const { load } = gatewayOf(entry).memory;
    assert.ok(load <= 1, `${load}`);
  },
);

Then("connections are closed after a 503 with a Retry-After", () => {
  const closed = raw.callers.filter((caller) => caller.closed);
  assert.ok(closed.some(({ text }) => isRefusal(text)));
  for (const { text } of closed) {
    // Some may have exceeded the time for a head before.
    assert.ok(isRefusal(text) || statusOf(text) === 408, text);
  }
});

Then(
  "the buffers that {string} holds stay below {int} kB for {int} ms",
  async (entry: string, kilobytes: number, millis: number) => {
    const { memory } = gatewayOf(entry);
    const endMillis = performance.now() + millis;
    let peakBytes = 0;
    while (performance.now() < endMillis) {
      peakBytes = Math.max(peakBytes, memory.held.bufferBytes);
      await pause(POLL_MILLIS);
    }
    assert.ok(peakBytes < kilobytes * BYTES_PER_KILOBYTE, `${peakBytes}`);
  },
);

Then(
  "within {int} ms a caller of {string} that gets {string} gets {int}",
  async (millis: number, entry: string, path: string, status: number) => {
    const endMillis = performance.now() + millis;
    const results = new Map<string, number>();
    while (true) {
      const reply = await call(entry, path);
      if (reply.status === status) return;
      const result = `${reply.status} ${reply.body.trim()}`;
      results.set(result, (results.get(result) ?? 0) + 1);
      assert.ok(
        performance.now() < endMillis,
        `the caller is not served, but got ${
          JSON.stringify(Object.fromEntries(results))
        }; ${describeLoad(entry)}`,
      );
      await pause(POLL_MILLIS);
    }
  },
);

/** What an entry holds, and what its connections and requests are waiting for. */
export function describeLoad(entry: string): string {
  const { memory, state } = gatewayOf(entry);
  const { held, limits, heldLoad, load, unreadBytes, refusalCount } = memory;
  const closedCount = raw.callers.filter(({ closed }) => closed).length;
  const lines = world.system.logText.trimEnd().split("\n");
  const targets = [...state.targets.all()].map((target) => ({
    id: target.record.id,
    inFlight: target.ownInFlight,
    slots: target.record.slots,
    isUnreachable: target.isUnreachable,
  }));
  return JSON.stringify({
    held,
    limits,
    heldLoad,
    load,
    unreadBytes,
    residentBytes: process.memoryUsage.rss(),
    refusalCount,
    callers: { open: raw.callers.length - closedCount, closed: closedCount },
    targets,
    events: countEvents(lines),
    lastLines: lines.slice(-LAST_LINES),
  });
}

/** Number of log lines of each event, outcome and cause. */
function countEvents(lines: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const line of lines) {
    const kind = [...line.matchAll(/\b(?:event|outcome|reason|cause)=(\S+)/g)]
      .map((match) => match[1]).join(" ");
    counts[kind] = (counts[kind] ?? 0) + 1;
  }
  return counts;
}

Then("no memory is held for callers of {string}", async (entry: string) => {
  for (const { socket } of raw.callers) socket.destroy();
  const { memory } = gatewayOf(entry);
  await until(() => memory.load < 0.1, "the memory is returned");
});

Then("the log has no {string}", (event: string) => {
  assert.ok(!world.system.logText.includes(`event=${event} `));
});

Then(
  "a body of {int} kB in pieces of {int} byte takes less than {int} kB once it is read",
  async (kilobytes: number, pieceBytes: number, maxKilobytes: number) => {
    const memory = new MemoryBudget({
      limits: {
        heapBytes: 0,
        bufferBytes: maxKilobytes * BYTES_PER_KILOBYTE,
        unreadBytes: 0,
        totalBytes: 0,
      },
    });
    const request = Object.assign(new PassThrough(), {
      headers: { "transfer-encoding": "chunked" },
    });
    const reading = readBody(request as unknown as IncomingMessage, {
      limits: {
        ...testConfig(1).limits,
        bodyBytes: kilobytes * BYTES_PER_KILOBYTE,
      },
      memory: memory.open(),
    });
    for (let i = 0; i < kilobytes * BYTES_PER_KILOBYTE; i += pieceBytes) {
      request.write(Buffer.alloc(pieceBytes));
    }
    request.end();
    const result = await reading;
    assert.equal(result.kind, "whole");
    assert.ok(memory.held.bufferBytes < maxKilobytes * BYTES_PER_KILOBYTE);
    assert.ok(request.listenerCount("data") > 0);
  },
);
