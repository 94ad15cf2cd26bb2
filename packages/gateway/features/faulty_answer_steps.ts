/**
 * Steps for answers that targets send late, twice, without end, or broken off.
 */
import assert from "node:assert/strict";
import { connect } from "node:net";
import { Before, Then, When } from "@cucumber/cucumber";
import { request } from "undici";
import { endless, resetFaultyTargets } from "./support/faulty_targets.ts";
import { gatewayOf, lastReply, pause, world } from "./support/scenario.ts";

/** How the answer that a caller streamed or read to its end has ended. */
let ending: { error: Error | undefined; tookMillis: number } | undefined;

Before(() => {
  resetFaultyTargets();
  ending = undefined;
});

async function readAnswer(entry: string, path: string): Promise<void> {
  const startMillis = performance.now();
  let error: Error | undefined;
  try {
    const reply = await request(
      `http://${world.system.settings(entry).listen.callers}${path}`,
      {
        headers: {
          host: "test.example",
          "test-request": "endless",
          "test-deadline": "5000",
        },
        signal: AbortSignal.timeout(5000),
      },
    );
    for await (const _part of reply.body) {
      // Only the end of the answer matters.
    }
  } catch (caught) {
    error = caught as Error;
  }
  ending = { error, tookMillis: performance.now() - startMillis };
}

When(
  "a caller of {string} reads the answer to {string}",
  (entry: string, path: string) => readAnswer(entry, path),
);

When(
  "a caller of {string} reads the answer to {string} while {string} stops",
  async (entry: string, path: string, stopping: string) => {
    const answer = readAnswer(entry, path);
    await pause(100);
    const stopped = gatewayOf(stopping).stop();
    await answer;
    await stopped;
  },
);

Then(
  "the answer breaks off with an error after at most {int} ms",
  (maxMillis: number) => {
    assert.ok(ending?.error, "the caller sees an error");
    assert.ok(ending.tookMillis <= maxMillis, `${ending.tookMillis} ms`);
  },
);

When(
  "a caller of {string} gets {string} by HTTP\\/1.0",
  async (entry: string, path: string) => {
    const [host, port] = world.system.settings(entry).listen.callers.split(":");
    const socket = connect({ host, port: Number(port) });
    const startMillis = performance.now();
    let error: Error | undefined;
    socket.on("error", (caught) => error = caught);
    socket.on("data", () => {});
    socket.write(
      `GET ${path} HTTP/1.0\r\nHost: test.example\r\n` +
        "Test-Request: old\r\nTest-Deadline: 1500\r\n\r\n",
    );
    await new Promise<void>((resolve) => socket.once("close", () => resolve()));
    ending = { error, tookMillis: performance.now() - startMillis };
  },
);

Then(
  "the caller's connection was reset within {int} ms",
  (maxMillis: number) => {
    const code = (ending?.error as NodeJS.ErrnoException | undefined)?.code;
    assert.equal(code, "ECONNRESET");
    assert.ok(ending && ending.tookMillis <= maxMillis);
  },
);

Then(
  "the answer is {int} within {int} ms, after at most {int} kB from the target",
  async (status: number, maxMillis: number, kilobytes: number) => {
    const reply = lastReply();
    assert.equal(reply.status, status);
    assert.ok(reply.tookMillis <= maxMillis, `${reply.tookMillis} ms`);
    // The target goes on writing until it notices that its connection is closed.
    await pause(50);
    assert.ok(endless.bytes <= kilobytes * 1000, `${endless.bytes} bytes`);
  },
);

Then(
  "the answer has no signature",
  () => assert.equal(lastReply().headers["test-signature"], undefined),
);
