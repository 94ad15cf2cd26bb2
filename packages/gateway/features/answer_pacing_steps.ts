/**
 * Steps for answers that take long to parse.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { AnswerPacer } from "@bamboolane/gateway/answer_pacer";
import { DescriptorBudget } from "@bamboolane/gateway/descriptor_budget";
import { MemoryBudget } from "@bamboolane/gateway/memory_budget";
import { planMemory } from "@bamboolane/gateway/memory_monitor";
import {
  type TargetConnection,
  TargetConnections,
} from "@bamboolane/gateway/target_connections";

/** Time after which a target resets a connection on which it has answered. */
const RESET_MILLIS = 20;
const HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

let server: Server | undefined;
let connections: TargetConnections;
let expectedCount: number;
let completeCount: number;
let tookMillis: number;
let slowestSmallMillis: number;

After(() => {
  server?.close();
  server = undefined;
});

Given(
  /^a target that answers in chunks of one byte(, and resets the connection after it)?$/,
  async (resets: string | undefined) => {
    /** Long answers, which are sent at the same time. */
    const held: (() => void)[] = [];
    server = createServer((socket) => {
      socket.on("error", () => {});
      socket.on("data", (data) => {
        const bytes = Number(/^GET \/(\d+) /.exec(data.toString())?.[1]);
        const answer = () => {
          socket.write(`${HEAD}${"1\r\nx\r\n".repeat(bytes)}0\r\n\r\n`);
          if (resets) setTimeout(() => socket.resetAndDestroy(), RESET_MILLIS);
        };
        if (bytes === 1) return answer();
        held.push(answer);
        if (held.length === expectedCount) held.forEach((send) => send());
      });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    connections = new TargetConnections(`127.0.0.1:${port}`, {
      descriptors: new DescriptorBudget(Infinity),
      pacer: new AnswerPacer({
        memory: new MemoryBudget({ limits: planMemory() }),
      }),
      onConnected: () => {},
    });
  },
);

/** Resolves to the size of the answer; to undefined if it isn't complete. */
function ask(
  connection: TargetConnection,
  bytes: number,
): Promise<number | undefined> {
  connection.expectAnswer(() => true);
  let size = 0;
  return new Promise((resolve) => {
    connection.client.dispatch({ method: "GET", path: `/${bytes}` }, {
      onRequestStart: () => {},
      onResponseStart: () => connection.headReceived(0),
      onResponseData: (_controller, chunk) => size += chunk.byteLength,
      onResponseEnd: () => resolve(size),
      onResponseError: () => resolve(undefined),
    });
  });
}

When(
  /^(\d+) answers of (\d+) bytes arrive(, and small ones are asked for meanwhile)?$/,
  { timeout: 60_000 },
  async (count: string, bytes: string, asksSmall: string | undefined) => {
    expectedCount = Number(count);
    const connect = () => connections.acquire("", performance.now());
    const kept = connect();
    assert.equal(await ask(kept, 1), 1);
    const startMillis = performance.now();
    let isDone = false;
    const askOne = () => ask(connect(), Number(bytes));
    const all = Promise.all(Array.from({ length: expectedCount }, askOne))
      .finally(() => isDone = true);
    slowestSmallMillis = 0;
    while (asksSmall && !isDone) {
      const askedAtMillis = performance.now();
      assert.equal(await ask(kept, 1), 1);
      const smallMillis = performance.now() - askedAtMillis;
      slowestSmallMillis = Math.max(slowestSmallMillis, smallMillis);
    }
    const sizes = await all;
    tookMillis = performance.now() - startMillis;
    completeCount = sizes.filter((size) => size === Number(bytes)).length;
  },
);

Then("all answers are complete", () => {
  assert.equal(completeCount, expectedCount);
});

Then("no small answer took more than a quarter of the time for all", () => {
  const seen = `${slowestSmallMillis} of ${tookMillis} ms`;
  assert.ok(slowestSmallMillis < tookMillis / 4, seen);
});
