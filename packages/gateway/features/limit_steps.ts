/**
 * Steps for targets that limit the rate of their requests.
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { formatResponse } from "@bamboolane/standins/scripted_target";
import { call, pause, world } from "./support/scenario.ts";

/** A target that names its limit while it has one. */
interface LimitedTarget {
  perSecond: number | undefined;
  /** When its requests arrived. Unit: milliseconds. */
  arrivals: number[];
}

const limitedTargets = new Map<string, LimitedTarget>();
const CALLER_PAUSE_MILLIS = 5;
const WINDOW_MILLIS = 4000;
let trafficStartMillis = 0;
let trafficEndMillis = 0;

function limitedTarget(id: string): LimitedTarget {
  const target = limitedTargets.get(id);
  assert.ok(target, `${id} is no limited target`);
  return target;
}

/** Largest number of arrivals in a window of 4 s that starts after `fromMillis`. */
function busiestWindow(arrivals: readonly number[], fromMillis: number) {
  const counted = arrivals.filter((millis) => millis >= fromMillis);
  const windows = counted.map((start) =>
    counted.filter((at) => at >= start && at < start + WINDOW_MILLIS).length
  );
  return Math.max(0, ...windows);
}

Given(
  "a target {string} that limits itself to {float} requests per second",
  async (id: string, perSecond: number) => {
    const target: LimitedTarget = { perSecond, arrivals: [] };
    limitedTargets.set(id, target);
    await world.system.addTarget(id, async (received, socket) => {
      target.arrivals.push(performance.now());
      await pause(10);
      const requestId = received.headers["test-request"];
      const limit = target.perSecond === undefined
        ? {}
        : { "Test-Limit": String(target.perSecond) };
      socket.write(formatResponse(200, {
        "Test-Request": requestId,
        "Test-Signature": "valid",
        ...limit,
      }, `body of ${requestId}`));
    });
  },
);

When(
  "{int} callers of each entry send one after another for {float} s",
  { timeout: 60_000 },
  async (callers: number, seconds: number) => {
    trafficStartMillis = performance.now();
    trafficEndMillis = trafficStartMillis + seconds * 1000;
    const entries = [...world.system.entries.keys()];
    const loops = entries.flatMap((entry) =>
      Array.from({ length: callers }, async () => {
        while (performance.now() < trafficEndMillis) {
          world.replies.push(await call(entry, "/read/x"));
          await pause(CALLER_PAUSE_MILLIS);
        }
      })
    );
    await Promise.all(loops);
  },
);

Then(
  "after the first {float} s no 4 s have more than {int} requests at {string}",
  (seconds: number, max: number, id: string) => {
    const fromMillis = trafficStartMillis + seconds * 1000;
    const busiest = busiestWindow(limitedTarget(id).arrivals, fromMillis);
    assert.ok(busiest <= max, `${busiest} requests in 4 s`);
  },
);

Then(
  "{string} gets at least {float} requests per second",
  (id: string, min: number) => {
    const seconds = (trafficEndMillis - trafficStartMillis) / 1000;
    const count =
      limitedTarget(id).arrivals.filter((at) =>
        at >= trafficStartMillis && at < trafficEndMillis
      ).length;
    assert.ok(count >= min * seconds, `${count} in ${seconds} s`);
  },
);

Then("all callers were served", () => {
  const refused = world.replies.filter(({ status }) => status !== 200);
  assert.equal(refused.length, 0, `of ${world.replies.length}`);
});
