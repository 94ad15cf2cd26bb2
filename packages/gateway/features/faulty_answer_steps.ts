/**
 * Steps for answers that targets send late, twice, without end, or broken off.
 */
import assert from "node:assert/strict";
import { Before, Then } from "@cucumber/cucumber";
import { endless, resetFaultyTargets } from "./support/faulty_targets.ts";
import { lastReply, pause } from "./support/scenario.ts";

Before(resetFaultyTargets);

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
