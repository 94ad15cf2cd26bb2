/**
 * State of the running scenario, shared by all step files.
 */
import { After, Before } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { Reply } from "./send_request.ts";
import { TestSystem } from "./test_system.ts";

/** State shared by the steps of a scenario. */
export interface Scenario {
  system: TestSystem;
  replies: Reply[];
  pending: Promise<Reply>[];
  ticket: string;
}

/** State of the running scenario, reset before each scenario. */
export const scenario: Scenario = {
  system: new TestSystem(),
  replies: [],
  pending: [],
  ticket: "",
};

Before({ tags: "@system" }, async () => {
  scenario.system = new TestSystem();
  scenario.replies = [];
  scenario.pending = [];
  scenario.ticket = "";
  await scenario.system.start();
});

After({ tags: "@system", timeout: 30_000 }, async () => {
  await Promise.allSettled(scenario.pending);
  await scenario.system.close();
  assert.deepEqual(scenario.system.breaches, []);
});

/** The most recent reply. */
export function lastReply(): Reply {
  const reply = scenario.replies.at(-1);
  assert.ok(reply, "no reply yet");
  return reply;
}
