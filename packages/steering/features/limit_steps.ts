/**
 * Steps for rates that a target takes from all entries together, on a simulated
 * clock.
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import {
  allocateRate,
  limitTerms,
  rankSenders,
} from "@bamboolane/steering/allocate_rate";
import { chooseLimitReports } from "@bamboolane/steering/choose_limit_reports";
import { RateLimiter } from "@bamboolane/steering/rate_limiter";
import { RequestLimit } from "@bamboolane/steering/request_limit";
import { TargetState } from "@bamboolane/steering/target_state";
import { seededRandom } from "@bamboolane/test-utils/seeded_random";

const TARGET = "limited";
const STEP_MILLIS = 20;
const WINDOW_MILLIS = 4000;

/** An entry as the simulation sees it. */
interface SimulatedEntry {
  id: string;
  limiter: RateLimiter;
  /** Entries that it knows, itself included. */
  known: string[];
  /** True if it takes an entry for live; undefined if it can't tell. */
  isLive?: (entry: string) => boolean;
  /** False while it is down. */
  running: boolean;
}

let entries: SimulatedEntry[] = [];
let limitPerSecond = 0;
let nowMillis = 0;
let arrivals: { millis: number; entry: string }[] = [];

function names(count: number): string[] {
  return Array.from({ length: count }, (_, i) => `entry-${i}`);
}

function createEntry(id: string, known: string[]): SimulatedEntry {
  return { id, limiter: new RateLimiter(), known, running: true };
}

function start(count: number, perSecond: number): void {
  limitPerSecond = perSecond;
  nowMillis = 0;
  arrivals = [];
  entries = names(count).map((id) => createEntry(id, names(count)));
}

/** Lets all running entries send what their part allows. */
function run(seconds: number): void {
  const senders = entries.filter(({ running }) => running).map((entry) => ({
    entry,
    share: allocateRate(entry.id, {
      terms: limitTerms(limitPerSecond),
      ranked: rankSenders(TARGET, entry.known),
      candidates: entry.known.length,
      isLive: entry.isLive,
    }),
  }));
  const endMillis = nowMillis + seconds * 1000;
  for (; nowMillis < endMillis; nowMillis += STEP_MILLIS) {
    for (const { entry, share } of senders) {
      while (entry.limiter.readyAtMillis(nowMillis, share) <= nowMillis) {
        entry.limiter.take();
        arrivals.push({ millis: nowMillis, entry: entry.id });
      }
    }
  }
}

function busiestWindow(): number {
  let busiest = 0;
  let first = 0;
  arrivals.forEach(({ millis }, last) => {
    while (arrivals[first].millis <= millis - WINDOW_MILLIS) first++;
    busiest = Math.max(busiest, last - first + 1);
  });
  return busiest;
}

Then(
  "for {int} to {int} entries and limits of {float} to {int} the target gets at most {float} times the limit and {int} requests in any 4 s",
  (
    min: number,
    max: number,
    minLimit: number,
    maxLimit: number,
    factor: number,
    extra: number,
  ) => {
    const inputs = fc.tuple(
      fc.integer({ min, max }),
      fc.double({ min: minLimit, max: maxLimit, noNaN: true }),
    );
    fc.assert(
      fc.property(inputs, ([count, perSecond]) => {
        start(count, perSecond);
        run(9);
        const bound = factor * perSecond * WINDOW_MILLIS / 1000 + extra;
        assert.ok(busiestWindow() <= bound, `${busiestWindow()} of ${bound}`);
      }),
      { numRuns: 60, seed: 7 },
    );
  },
);

Then(
  "over a minute it gets {float} to {float} times the limit",
  (min: number, max: number) => {
    for (const [count, perSecond] of [[1, 0.5], [5, 3], [12, 8], [40, 20]]) {
      start(count, perSecond);
      run(10);
      const before = arrivals.length;
      run(60);
      const rate = (arrivals.length - before) / 60;
      assert.ok(rate >= min * perSecond && rate <= max * perSecond, `${rate}`);
    }
  },
);

Given(
  /^(\d+) entries that share a limit of ([\d.]+) requests? per second$/,
  (count: string, perSecond: string) => {
    start(Number(count), Number(perSecond));
    run(10);
  },
);

When(
  "another entry joins, and the others learn of it {int} s later",
  (seconds: number) => {
    const all = names(entries.length + 1);
    entries.push(createEntry(all[all.length - 1], all));
    run(seconds);
    for (const entry of entries) entry.known = all;
    run(8);
  },
);

When("they restart one after another, {int} s apart", (seconds: number) => {
  for (const entry of entries) {
    entry.limiter = new RateLimiter();
    run(seconds);
  }
  run(6);
});

When("each half believes that the other half is down", () => {
  const half = entries.length / 2;
  entries.forEach((entry, i) => {
    const own = entries.filter((_, j) => i < half === j < half);
    const ids = new Set(own.map(({ id }) => id));
    entry.isLive = (id) => ids.has(id);
  });
  run(10);
});

When("all senders are down", () => {
  const senders = new Set(arrivals.map(({ entry }) => entry));
  for (const entry of entries) {
    entry.running = !senders.has(entry.id);
    entry.isLive = (id) => !senders.has(id);
  }
  arrivals = [];
  run(10);
});

Then(
  "exactly one other entry sends, and no 4 s have more than {int} requests",
  (max: number) => {
    assert.equal(new Set(arrivals.map(({ entry }) => entry)).size, 1);
    assert.ok(busiestWindow() <= max, `${busiestWindow()}`);
  },
);

Then("no 4 s have more than {int} requests", (max: number) => {
  assert.ok(busiestWindow() <= max, `${busiestWindow()}`);
});

let limit = new RequestLimit();

Given(
  "an entry that saw a target's limit of {int} end",
  (perSecond: number) => {
    limit = new RequestLimit();
    limit.observe({ perSecond, observedAtMillis: 1000 }, 1000);
    limit.observe({ perSecond: undefined, observedAtMillis: 2000 }, 2000);
    assert.ok(!limit.isAnnounced(60_000));
  },
);

When(
  "another entry reports the limit of {int} as seen before that",
  (perSecond: number) => {
    limit.observe({ perSecond, observedAtMillis: 1500 }, 60_000);
  },
);

Then("the target has no limit", () => {
  assert.equal(limit.perSecond, undefined);
});

Then("the end of the limit is announced again", () => {
  assert.ok(limit.isAnnounced(60_100));
});

const limitedTargets: TargetState[] = [];

Given(
  "{int} targets with limits, of which {int} began lately",
  (count: number, recent: number) => {
    limitedTargets.length = 0;
    nowMillis = 100_000;
    for (let i = 0; i < count; i++) {
      const target = new TargetState({
        id: `t${i}`,
        service: "s",
        address: "",
        dataCentre: "a1",
        slots: 3,
        draining: false,
        warmupLeftMillis: 0,
        bornMillis: 1,
        sequence: 0,
      }, { version: 1, nowMillis: 0 });
      const atMillis = i < recent ? nowMillis - 100 : 1000;
      const observation = { perSecond: 5, observedAtMillis: atMillis };
      target.requestLimit.observe(observation, atMillis);
      limitedTargets.push(target);
    }
  },
);

Then(
  "each message has the {int}, at most {int} limits, and {int} messages have all",
  (recent: number, max: number, messages: number) => {
    const random = seededRandom(3);
    const seen = new Set<string>();
    for (let i = 0; i < messages; i++) {
      const reports = chooseLimitReports(limitedTargets, { nowMillis, random });
      assert.ok(reports.size <= max, `${reports.size}`);
      for (let j = 0; j < recent; j++) assert.ok(reports.has(`t${j}`));
      for (const id of reports.keys()) seen.add(id);
    }
    assert.equal(seen.size, limitedTargets.length);
  },
);
