/**
 * Steps for targets that limit the rate of their requests.
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { StateTable } from "@bamboolane/gateway/state_store";
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
/** Lines of the log that a failure shows. */
const SHOWN_LINES = 20;
const WINDOW_MILLIS = 4000;
/** Time in which a target must get its first request. */
const MAX_ARRIVAL_MILLIS = 20_000;
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

async function addLimitedTarget(
  id: string,
  options: { perSecond: number; refusesEvery?: number },
): Promise<void> {
  const { perSecond, refusesEvery = Infinity } = options;
  const target: LimitedTarget = { perSecond, arrivals: [] };
  limitedTargets.set(id, target);
  await world.system.addTarget(id, async (received, socket) => {
    target.arrivals.push(performance.now());
    const requestId = received.headers["test-request"];
    if (target.arrivals.length % refusesEvery === 0) {
      const headers = { "Test-Request": requestId, "Test-Not-Run": "1" };
      socket.write(formatResponse(503, headers, ""));
      return;
    }
    await pause(10);
    const limit = target.perSecond === undefined
      ? {}
      : { "Test-Limit": String(target.perSecond) };
    socket.write(formatResponse(200, {
      "Test-Request": requestId,
      "Test-Signature": "valid",
      ...limit,
    }, `body of ${requestId}`));
  });
}

Given(
  /^a target "(\w+)" that limits itself to ([\d.]+) requests? per second$/,
  (id: string, perSecond: string) =>
    addLimitedTarget(id, { perSecond: Number(perSecond) }),
);

Given(
  "a target {string} that limits itself to {float} requests per second and refuses every third without naming it",
  (id: string, perSecond: number) =>
    addLimitedTarget(id, { perSecond, refusesEvery: 3 }),
);

Given(
  "{int} entries that start together and can't read the list of entries",
  async (count: number) => {
    world.system.store.unreadableTables.add(StateTable.entries);
    const ids = Array.from({ length: count }, (_, i) => `e${i + 1}`);
    await Promise.all(ids.map((id) => world.system.addEntry(id)));
  },
);

When("an entry {string} starts", (id: string) => world.system.addEntry(id));

When("{string} no longer has a limit", (id: string) => {
  limitedTarget(id).perSecond = undefined;
});

Given("{string} and {string} drain", (first: string, second: string) => {
  world.system.writeTarget(first, true);
  world.system.writeTarget(second, true);
});

When("{string} becomes cold", (id: string) => {
  for (const { gateway } of world.system.entries.values()) {
    gateway.state.targets.get(id)?.markCold(60_000, performance.now());
  }
});

/** Lets callers send to each entry until the time that `endMillis` returns. */
async function sendTo(
  entries: readonly string[],
  options: { callers: number; endMillis: () => number },
): Promise<void> {
  const { callers, endMillis } = options;
  trafficStartMillis = performance.now();
  const loops = entries.flatMap((entry) =>
    Array.from({ length: callers }, async () => {
      while (performance.now() < endMillis()) {
        world.replies.push(await call(entry, "/read/x"));
        await pause(CALLER_PAUSE_MILLIS);
      }
    })
  );
  await Promise.all(loops);
  trafficEndMillis = endMillis();
}

When(
  "{int} callers of each entry send one after another for {float} s",
  { timeout: 60_000 },
  (callers: number, seconds: number) => {
    const endMillis = performance.now() + seconds * 1000;
    return sendTo([...world.system.entries.keys()], {
      callers,
      endMillis: () => endMillis,
    });
  },
);

When(
  "{int} callers of {string} send one after another until {string} got a request, and for {float} s more",
  { timeout: 60_000 },
  async (callers: number, entry: string, id: string, seconds: number) => {
    const startMillis = performance.now();
    const firstArrivalMillis = () =>
      limitedTarget(id).arrivals.find((atMillis) => atMillis >= startMillis);
    await sendTo([entry], {
      callers,
      endMillis: () =>
        (firstArrivalMillis() ?? startMillis + MAX_ARRIVAL_MILLIS) +
        seconds * 1000,
    });
    assert.ok(firstArrivalMillis() !== undefined, `${id} got a request`);
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

/** True if every entry knows the target's limit, or that it has none. */
function allKnowLimit(id: string, perSecond: number | undefined): boolean {
  return [...world.system.entries.values()].every(({ gateway }) =>
    gateway.state.targets.get(id)?.requestLimit.perSecond === perSecond
  );
}

Then(
  /^all entries know a limit of ([\d.]+) requests? per second at "(\w+)"$/,
  (perSecond: string, id: string) => {
    assert.ok(allKnowLimit(id, Number(perSecond)));
  },
);

Then(
  /^within (\d+) s all entries know a limit of ([\d.]+) requests? per second at "(\w+)"$/,
  async (seconds: string, perSecond: string, id: string) => {
    const endMillis = performance.now() + Number(seconds) * 1000;
    while (!allKnowLimit(id, Number(perSecond))) {
      assert.ok(performance.now() < endMillis, `not known after ${seconds} s`);
      await pause(20);
    }
  },
);

Then("all entries know that {string} has no limit", (id: string) => {
  assert.ok(allKnowLimit(id, undefined));
});

Then("no entry logged that the limit of {string} ended", (id: string) => {
  const lines = world.system.logText.split("\n").filter((line) =>
    line.includes("event=target_limit") && line.includes(`target=${id} `)
  );
  assert.ok(lines.length > 0, "the limit was logged");
  const ended = lines.filter((line) => line.includes("fromPerSecond"));
  assert.deepEqual(ended, []);
});

Then("all callers were served", () => {
  const refused = world.replies.filter(({ status }) => status !== 200);
  const lines = world.system.logText.split("\n").filter((line) =>
    refused.some(({ headers }) => line.includes(`=${headers["sent-id"]} `))
  );
  assert.equal(
    refused.length,
    0,
    `${refused.length} of ${world.replies.length}: ${
      lines.slice(0, SHOWN_LINES).join("\n")
    }`,
  );
});
