/**
 * Steps for callers that don't read large answers.
 */
import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { formatResponse } from "@bamboolane/standins/scripted_target";
import {
  connectTo,
  raw,
  type RawCaller,
  send,
  untilClosed,
} from "./support/raw_caller.ts";
import {
  call,
  gatewayOf,
  pause,
  type Reply,
  world,
} from "./support/scenario.ts";
import { answerValidly, signedHeaders } from "./support/target_answers.ts";
import { until } from "./support/test_gateway.ts";

const BYTES_PER_KILOBYTE = 1000;
const POLL_MILLIS = 20;
const LAST_CHUNK = "\r\n0\r\n\r\n";

/** Size of the large answers, without their heads. */
let answerBytes = 0;
/** Callers that read nothing beside those that do. */
let otherCallers: RawCaller[] = [];
/** What other callers got. */
let otherReplies: Reply[] = [];
/** What was seen of the memory of an entry. */
let watched = { exceededMillis: 0, peakHeldLoad: 0, peakLoad: 0 };
let watchTimer: NodeJS.Timeout | undefined;

Given(
  "a target {string} whose answers to {string} have {int} kB",
  (id: string, prefix: string, kilobytes: number) => {
    answerBytes = kilobytes * BYTES_PER_KILOBYTE;
    return world.system.addTarget(id, (received, socket) => {
      if (!received.path.startsWith(prefix)) {
        return answerValidly(received, socket);
      }
      const body = "x".repeat(answerBytes);
      socket.write(formatResponse(200, signedHeaders(received), body));
    });
  },
);

Given(
  "a target {string} in {string} whose answers to {string} have {int} kB",
  (id: string, dataCentre: string, prefix: string, kilobytes: number) => {
    answerBytes = kilobytes * BYTES_PER_KILOBYTE;
    return world.system.addTarget(id, (received, socket) => {
      if (!received.path.startsWith(prefix)) {
        return answerValidly(received, socket);
      }
      const body = "x".repeat(answerBytes);
      socket.write(formatResponse(200, signedHeaders(received), body));
    }, { dataCentre });
  },
);

Given(
  "a target {string} in {string} that works for {int} ms",
  (id: string, dataCentre: string, millis: number) =>
    world.system.addTarget(id, async (received, socket) => {
      await pause(millis);
      answerValidly(received, socket);
    }, { dataCentre }),
);

Given(
  "a target {string} whose answers have {int} kB, but for those to {string}, the first of them after {int} ms",
  (id: string, kilobytes: number, prefix: string, millis: number) => {
    const body = "x".repeat(kilobytes * BYTES_PER_KILOBYTE);
    let isFirst = true;
    return world.system.addTarget(id, async (received, socket) => {
      if (received.path.startsWith(prefix)) {
        return answerValidly(received, socket);
      }
      const waitMillis = isFirst ? millis : 0;
      isFirst = false;
      await pause(waitMillis);
      socket.write(formatResponse(200, signedHeaders(received), body));
    });
  },
);

When(
  "{int} callers of {string} ask for {string}, and read no answers",
  async (callers: number, entry: string, path: string) => {
    raw.callers = Array.from({ length: callers }, () => connectTo(entry));
    for (const caller of raw.callers) {
      caller.socket.pause();
      send(caller, path);
    }
    await until(
      () => world.system.receivedCount > 0,
      "a target received a request",
    );
  },
);

When(
  "{int} callers of {string} ask for {string}, and read {int} kB every {int} ms",
  (
    callers: number,
    entry: string,
    path: string,
    kilobytes: number,
    millis: number,
  ) => {
    raw.callers = Array.from({ length: callers }, () => connectTo(entry));
    for (const caller of raw.callers) {
      const { socket } = caller;
      let allowedBytes = 0;
      socket.on("data", (chunk) => {
        allowedBytes -= chunk.byteLength;
        if (allowedBytes <= 0) socket.pause();
      });
      socket.pause();
      const timer = setInterval(() => {
        allowedBytes = kilobytes * BYTES_PER_KILOBYTE;
        socket.resume();
      }, millis);
      socket.once("close", () => clearInterval(timer));
      send(caller, path);
    }
  },
);

When(
  "{int} other callers of {string} ask for {string}, and read nothing for {int} ms",
  async (count: number, entry: string, path: string, millis: number) => {
    otherCallers = Array.from({ length: count }, () => connectTo(entry));
    for (const caller of otherCallers) {
      caller.socket.pause();
      send(caller, path);
    }
    await pause(millis);
  },
);

When("the memory of {string} is watched", (entry: string) => {
  const { memory } = gatewayOf(entry);
  watched = { exceededMillis: 0, peakHeldLoad: 0, peakLoad: 0 };
  let atMillis = performance.now();
  watchTimer = setInterval(() => {
    const nowMillis = performance.now();
    if (memory.unreadLoad > 1) watched.exceededMillis += nowMillis - atMillis;
    watched.peakHeldLoad = Math.max(watched.peakHeldLoad, memory.heldLoad);
    watched.peakLoad = Math.max(watched.peakLoad, memory.load);
    atMillis = nowMillis;
  }, POLL_MILLIS);
});

After(() => clearInterval(watchTimer));

When(
  "another caller of {string} gets {string} again and again for {int} ms",
  async (entry: string, path: string, millis: number) => {
    const endMillis = performance.now() + millis;
    while (performance.now() < endMillis) {
      await call(entry, path);
      await pause(POLL_MILLIS);
    }
  },
);

When(
  "{int} other callers of {string} get {string} again and again for {int} ms",
  async (count: number, entry: string, path: string, millis: number) => {
    const endMillis = performance.now() + millis;
    await Promise.all(Array.from({ length: count }, async () => {
      while (performance.now() < endMillis) {
        world.replies.push(await call(entry, path));
        await pause(POLL_MILLIS);
      }
    }));
  },
);

Then("some of those callers were served, and others refused as full", () => {
  assert.ok(world.replies.some((reply) => reply.status === 200));
  assert.match(world.system.logText, /outcome=refused .* reason=full/);
});

When(
  "{string} asks {string} for a pause of {int} ms",
  (id: string, entry: string, millis: number) => {
    const target = gatewayOf(entry).state.targets.get(id);
    assert.ok(target, `${entry} knows ${id}`);
    target.requestPause(millis, performance.now());
  },
);

When("the callers read their answers", () => {
  for (const caller of raw.callers) caller.socket.resume();
});

When(
  "a caller of {string} gets {string}, and reads nothing for {int} ms",
  async (entry: string, path: string, millis: number) => {
    const caller = connectTo(entry);
    raw.callers = [caller];
    caller.socket.pause();
    send(caller, path);
    await pause(millis);
    caller.socket.resume();
  },
);

Then("each caller's answer is complete", async () => {
  for (const caller of raw.callers) {
    await until(
      () => caller.closed || caller.text.endsWith(LAST_CHUNK),
      "the answer ends",
    );
    const [_head, ...parts] = caller.text.split("\r\n\r\n");
    const contents = parts.join("").replaceAll(/[^x]/g, "");
    assert.equal(contents.length, answerBytes);
    caller.socket.destroy();
  }
});

Then("the answers of those other callers were cut", async () => {
  for (const caller of otherCallers) {
    // A paused socket doesn't notice the end of its connection.
    caller.socket.resume();
    await untilClosed(caller);
    const contents = caller.text.replaceAll(/[^x]/g, "");
    assert.ok(contents.length < answerBytes, `${contents.length}`);
  }
});

Then(
  "for {int} ms the entry may not have read more than it has room for, and held less",
  (millis: number) => {
    const description = JSON.stringify(watched);
    assert.ok(watched.exceededMillis >= millis, description);
    assert.ok(watched.peakHeldLoad < 1, description);
  },
);

When(
  "others get {string} from {string} on new connections for {int} ms",
  async (path: string, entry: string, millis: number) => {
    const endMillis = performance.now() + millis;
    otherReplies = [];
    while (performance.now() < endMillis) {
      const headers = { connection: "close" };
      otherReplies.push(await call(entry, path, { headers }));
    }
  },
);

Then("none of the others is refused for lack of memory", () => {
  const texts = otherReplies.map(({ status, body }) => `${status} ${body}`);
  assert.ok(texts.some((text) => text.startsWith("200 ")), texts.join());
  assert.ok(!texts.includes("503 no-memory\n"), texts.join());
});
