/**
 * Steps for the memory that requests and answers take.
 */
import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import process from "node:process";
import { PassThrough } from "node:stream";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { Given, Then, When } from "@cucumber/cucumber";
import { MemoryBudget } from "@bamboolane/gateway/memory_budget";
import { readBody } from "@bamboolane/gateway/read_request";
import { describeLoad } from "./memory_limit_steps.ts";
import {
  answersOf,
  connectTo,
  raw,
  type RawCaller,
  send,
  statusOf,
} from "./support/raw_caller.ts";
import { pause, world } from "./support/scenario.ts";
import { testConfig, until, untilWithin } from "./support/test_gateway.ts";

const BYTES_PER_KILOBYTE = 1000;
/** A later revision than that of other steps. */
const REVISION = 20;

let large: RawCaller[] = [];
let small: RawCaller[] = [];
let pipelining: RawCaller;
/** Buffers in use before the bodies of the scenario. */
let heldBeforeBytes = 0;

Given("bodies of up to {int} kB are allowed", (kilobytes: number) => {
  const config = testConfig(REVISION);
  const bodyBytes = kilobytes * BYTES_PER_KILOBYTE;
  world.system.publish({ ...config, limits: { ...config.limits, bodyBytes } });
});

Given(
  "an entry {string} with {int} kB of memory",
  (id: string, kilobytes: number) =>
    world.system.addEntry(id, { memoryBytes: kilobytes * BYTES_PER_KILOBYTE }),
);

function post(
  count: number,
  request: { entry: string; path: string; kilobytes: number },
): RawCaller[] {
  const body = "x".repeat(request.kilobytes * BYTES_PER_KILOBYTE);
  return Array.from({ length: count }, () => {
    const caller = connectTo(request.entry);
    send(caller, request.path, {
      method: "POST",
      headers: `Content-Length: ${body.length}\r\n`,
      body,
    });
    return caller;
  });
}

When(
  "{int} callers of {string} post bodies of {int} kB to {string}, and {int} callers bodies of {int} kB",
  async (
    largeCount: number,
    entry: string,
    kilobytes: number,
    path: string,
    smallCount: number,
    smallKilobytes: number,
  ) => {
    large = post(largeCount, { entry, path, kilobytes });
    small = post(smallCount, { entry, path, kilobytes: smallKilobytes });
    await until(
      () => [...large, ...small].every((c) => answersOf(c).length > 0),
      "each caller has an answer",
    );
  },
);

Then(
  "{int} of the large bodies is answered {int}, and {int} are answered {int} with a Retry-After",
  (first: number, status: number, second: number, other: number) => {
    const byStatus = (wanted: number) =>
      large.filter(({ text }) => statusOf(text) === wanted);
    assert.equal(byStatus(status).length, first);
    assert.equal(byStatus(other).length, second);
    for (const { text } of byStatus(other)) {
      assert.match(text, /^retry-after: /im);
    }
  },
);

Then("all of the small bodies are answered {int}", (status: number) => {
  assert.deepEqual(
    small.map(({ text }) => statusOf(text)),
    small.map(() => status),
  );
});

/** Memory of all buffers that are in use. */
function bufferBytes(): number {
  setFlagsFromString("--expose-gc");
  runInNewContext("gc")();
  return process.memoryUsage().arrayBuffers;
}

Then(
  "a body of {int} kB in chunks takes less than {int} kB once it is read",
  async (kilobytes: number, maxKilobytes: number) => {
    const before = bufferBytes();
    const request = Object.assign(new PassThrough(), {
      headers: { "transfer-encoding": "chunked" },
    });
    const { limits } = testConfig(REVISION);
    const reading = readBody(request as unknown as IncomingMessage, {
      limits: { ...limits, bodyBytes: kilobytes * BYTES_PER_KILOBYTE },
      memory: new MemoryBudget({
        limits: {
          heapBytes: Infinity,
          bufferBytes: Infinity,
          unreadBytes: 0,
          totalBytes: 0,
        },
      }).open(),
    });
    for (let i = 0; i < kilobytes; i += 100) {
      request.write(Buffer.alloc(100 * BYTES_PER_KILOBYTE));
    }
    request.end();
    const result = await reading;
    assert.equal(result.kind, "whole");
    assert.ok(request.listenerCount("data") > 0);
    // Buffers are freed in the background, some time after they were collected.
    await until(
      () => (bufferBytes() - before) / BYTES_PER_KILOBYTE < maxKilobytes,
      "the body takes less",
    );
  },
);

When(
  "a caller of {string} pipelines {int} requests for {string}",
  (entry: string, count: number, path: string) => {
    pipelining = connectTo(entry);
    for (let i = 0; i < count; i++) send(pipelining, path);
  },
);

Then(
  "at most {int} of them have run or were refused after {int} ms",
  async (max: number, millis: number) => {
    await pause(millis);
    const begun = pipelining.sentIds.filter((id) =>
      world.system.logText.includes(` request=${id} `)
    );
    assert.ok(begun.length > 0 && begun.length <= max, `${begun.length}`);
  },
);

Then("all {int} are answered in their order", async (count: number) => {
  const ids = () =>
    answersOf(pipelining).flatMap((answer) =>
      statusOf(answer) === 200
        ? [/^test-request: (.*)\r$/im.exec(answer)?.[1]]
        : []
    );
  await until(
    () => answersOf(pipelining).length === count,
    "each request has an answer",
  );
  assert.ok(ids().length > 0);
  const known = pipelining.sentIds.filter((id) => ids().includes(id));
  assert.deepEqual(ids(), known);
});

When(
  "{int} callers of {string} post a body of {int} kB to {string}, one after another, and stay idle",
  async (count: number, entry: string, kilobytes: number, path: string) => {
    heldBeforeBytes = bufferBytes();
    raw.callers = [];
    for (let i = 0; i < count; i++) {
      const [caller] = post(1, { entry, path, kilobytes });
      raw.callers.push(caller);
      await until(() => answersOf(caller).length === 1, "it has an answer");
      const [answer] = answersOf(caller);
      assert.equal(statusOf(answer), 200, `${answer}; ${describeLoad(entry)}`);
    }
  },
);

Then(
  "less than {int} kB of buffers are kept for them",
  async (kilobytes: number) => {
    const keptBytes = () => bufferBytes() - heldBeforeBytes;
    // Buffers are freed in the background, and idle connections to targets closed later.
    await untilWithin(
      () => keptBytes() < kilobytes * BYTES_PER_KILOBYTE,
      {
        seconds: 1,
        description: `${
          Math.round(keptBytes() / BYTES_PER_KILOBYTE)
        } kB were kept at first`,
      },
    );
  },
);
