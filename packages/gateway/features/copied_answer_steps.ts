/**
 * Steps for copies of refusals, and for callers that send a refused request again
 * under its id.
 */
import assert from "node:assert/strict";
import { Before, Given, Then, When } from "@cucumber/cucumber";
import type { ScriptedTarget } from "@bamboolane/standins/scripted_target";
import {
  addCopyingTarget,
  type CopyMoment,
  runs,
} from "./support/copying_target.ts";
import { call, pause, world } from "./support/scenario.ts";

/** Pause before a refused request is sent again; longer than a target's after a refusal. */
const RETRY_PAUSE_MILLIS = 150;
const MOMENTS = "(before .*|with .*|in pieces .*|half .*|right .*|40 ms .*)";

/** Status of the last answer to each request, by its id. */
const lastStatuses = new Map<string, number>();
/** Requests that had begun to run when they were refused. */
const refusedRuns: string[] = [];

Before(() => {
  refusedRuns.length = 0;
  runs.clear();
  lastStatuses.clear();
});

Given(
  new RegExp(
    `^a target "(\\w+)" that refuses each request once with (\\d+), and then sends a copy ${MOMENTS}$`,
  ),
  (id: string, status: string, moment: CopyMoment) =>
    addCopyingTarget(id, { status: Number(status), moment }),
);

Given(
  new RegExp(
    `^a target "(\\w+)" that refuses each request once with (\\d+) and a Retry-After of "(.*)", and then sends a copy ${MOMENTS}$`,
  ),
  (id: string, status: string, retryAfter: string, moment: CopyMoment) =>
    addCopyingTarget(id, {
      status: Number(status),
      moment,
      headers: { "Retry-After": retryAfter },
    }),
);

When(
  "a caller of {string} posts {string} until it is served, {int} request(s) with {int} tries each",
  async (entry: string, path: string, requests: number, tries: number) => {
    for (let i = 0; i < requests; i++) {
      const id = `again${i}`;
      for (let sent = 0; sent < tries; sent++) {
        const reply = await call(entry, path, {
          method: "POST",
          body: "one",
          headers: { "test-request": id },
        });
        lastStatuses.set(id, reply.status);
        if (reply.status === 503 && runs.has(id)) refusedRuns.push(id);
        if (reply.status !== 503) break;
        await pause(RETRY_PAUSE_MILLIS);
      }
    }
  },
);

When(
  "a caller of {string} posts {string} without an id",
  async (entry: string, path: string) => {
    world.replies.push(
      await call(entry, path, {
        method: "POST",
        body: "no id",
        headers: { "test-request": "" },
      }),
    );
  },
);

Then("each of these requests was served", () => {
  assert.deepEqual(
    [...lastStatuses].filter(([, status]) => status !== 200),
    [],
  );
});

Then("at most {int} of these requests failed", (max: number) => {
  const failed = [...lastStatuses].filter(([, status]) => status !== 200);
  assert.ok(failed.length <= max, `failed: ${failed.join(" ")}`);
});

Then("none ran twice, or was refused while it ran", () => {
  for (const [id, count] of runs) {
    assert.ok(count <= 1, `${id} ran ${count} times`);
  }
  assert.deepEqual(refusedRuns, []);
});

Then(
  "{string} accepted at most {int} connections",
  (id: string, max: number) => {
    const { received } = world.system.targets.get(id) as ScriptedTarget;
    const connections = new Set(received.map(({ connection }) => connection));
    assert.ok(connections.size <= max, `${connections.size} connections`);
  },
);

Then("the request without an id was the first one on its connection", () => {
  const received = [...world.system.targets.values()]
    .flatMap((target) => target.received);
  const { connection } = received.find(({ body }) => body === "no id") ??
    assert.fail("the target did not receive it");
  const first = received.find((other) => other.connection === connection);
  assert.equal(first?.body, "no id");
});

Then("the entries logged {int} pause(s)", (count: number) => {
  const pauses = world.system.logText.match(/target_pause/g) ?? [];
  assert.equal(pauses.length, count);
});
