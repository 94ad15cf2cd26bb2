/**
 * Steps for estimates of work times.
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { call, gatewayOf, pause, world } from "./support/scenario.ts";
import { answerValidly } from "./support/target_answers.ts";

const POLL_MILLIS = 20;

/** Work times of the targets that get faster. Unit: milliseconds. */
const workMillis = new Map<string, number>();

Given(
  "a target {string} that needs {int} ms until it gets faster",
  (id: string, millis: number) => {
    workMillis.set(id, millis);
    return world.system.addTarget(id, async (received, socket) => {
      await pause(workMillis.get(id) ?? 0);
      answerValidly(received, socket);
    });
  },
);

When("{string} gets faster", (id: string) => {
  workMillis.set(id, 0);
});

When(
  "a caller of {string} has got {string} {int} times",
  { timeout: 20_000 },
  async (entry: string, path: string, count: number) => {
    for (let i = 0; i < count; i++) {
      const reply = await call(entry, path, { deadlineMillis: 15_000 });
      assert.equal(reply.status, 200);
    }
  },
);

Then(
  "the next {int} callers of {string} that get {string} get {int}",
  async (count: number, entry: string, path: string, status: number) => {
    const statuses: number[] = [];
    for (let i = 0; i < count; i++) {
      statuses.push((await call(entry, path)).status);
    }
    assert.deepEqual(statuses, Array(count).fill(status));
  },
);

Then(
  "less than {int} ms of work are expected at {string}",
  (millis: number, entry: string) => {
    const estimate = gatewayOf(entry).state.estimate("s", Infinity);
    const expectedMillis = estimate.meanMillis();
    assert.ok(expectedMillis < millis, `${expectedMillis}`);
  },
);

Then(
  "within {int} ms a caller of {string} that waits {int} ms for {string} gets {int}",
  async (
    millis: number,
    entry: string,
    deadlineMillis: number,
    path: string,
    status: number,
  ) => {
    const endMillis = performance.now() + millis;
    const statuses: number[] = [];
    while (statuses.at(-1) !== status) {
      assert.ok(performance.now() < endMillis, `${statuses}`);
      statuses.push((await call(entry, path, { deadlineMillis })).status);
      await pause(POLL_MILLIS);
    }
  },
);
