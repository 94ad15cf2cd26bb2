/**
 * Steps for the gateway's steering decisions. Load patterns run on a simulated
 * clock with a fixed seed.
 */
import assert from "node:assert/strict";
import { Before, Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { admitRequest } from "@bamboolane/steering/admit_request";
import { RateLimiter, type RateShare } from "@bamboolane/steering/rate_limiter";
import { RouteIndex } from "@bamboolane/steering/match_route";
import { findHomes, type ObjectHomes } from "@bamboolane/steering/object_homes";
import {
  type PlacementInput,
  placeRequest,
} from "@bamboolane/steering/place_request";
import { RetryBudget } from "@bamboolane/steering/retry_budget";
import {
  allocateRate,
  rankSenders,
  warmupTerms,
} from "@bamboolane/steering/allocate_rate";
import { WorkTimeEstimate } from "@bamboolane/steering/work_time_estimate";
import { WeightedRoundRobin } from "@bamboolane/steering/weighted_round_robin";
import {
  RepeatPolicy,
  type SteeringRoute,
  type TargetRecord,
} from "@bamboolane/steering/steering_config";
import { TargetState } from "@bamboolane/steering/target_state";
import {
  LAPSE_GRACE_MILLIS,
  TargetRegistry,
} from "@bamboolane/steering/target_registry";
import { WaitQueue } from "@bamboolane/steering/wait_queue";
import { seededRandom } from "@bamboolane/test-utils/seeded_random";

const SEED = 7;

function route(name: string, host: string, prefix: string): SteeringRoute {
  return {
    name,
    host,
    prefix,
    repeat: RepeatPolicy.idempotent,
    timeoutMillis: 1000,
    objectiveMillis: 300,
    attempts: 2,
    priority: 1,
    affinity: true,
    allowedRegions: [],
    parts: [{ service: "s", weight: 1 }],
  };
}

function record(id: string, changes: Partial<TargetRecord> = {}): TargetRecord {
  return {
    id,
    service: "s",
    address: `10.0.0.1:${id.length}`,
    dataCentre: "a1",
    slots: 3,
    draining: false,
    warmupLeftMillis: 0,
    bornMillis: 1,
    sequence: 0,
    ...changes,
  };
}

function targetState(
  id: string,
  changes: Partial<TargetRecord> = {},
): TargetState {
  return new TargetState(record(id, changes), { version: 1, nowMillis: 0 });
}

const index = new RouteIndex([
  route("short", "one.example", "/a/"),
  route("long", "one.example", "/a/b/"),
]);

Then(
  "{string} of {string} matches route {string} and {string} route {string}",
  (
    first: string,
    host: string,
    long: string,
    second: string,
    short: string,
  ) => {
    assert.equal(index.match(host, first)?.name, long);
    assert.equal(index.match(`${host.toUpperCase()}:80`, second)?.name, short);
  },
);

Then(
  "{string} of {string} and {string} of {string} match no route",
  (path: string, host: string, otherPath: string, otherHost: string) => {
    assert.equal(index.match(host, path), undefined);
    assert.equal(index.match(otherHost, otherPath), undefined);
  },
);

let roundRobin: WeightedRoundRobin;

Given("a route split {int} to {int}", (large: number, small: number) => {
  roundRobin = new WeightedRoundRobin([
    { service: "large", weight: large },
    { service: "small", weight: small },
  ]);
});

Then(
  "any {int} consecutive requests include {int} for the smaller part",
  (span: number, expected: number) => {
    const picks = Array.from({ length: 400 }, () => roundRobin.next());
    for (let start = 0; start + span <= picks.length; start++) {
      const small = picks.slice(start, start + span)
        .filter((service) => service === "small").length;
      assert.equal(small, expected, `from ${start}`);
    }
  },
);

const BUDGET_SETTINGS = { ratio: 0.2, allowance: 64, windowMillis: 10_000 };
let budgets: RetryBudget[] = [];
let ratePerSecond = 0;
const requestTimes: number[] = [];
const retryTimes: number[] = [];

Given(
  "{int} entries that each receive {int} requests per second",
  (entries: number, rate: number) => {
    budgets = Array.from(
      { length: entries },
      () => new RetryBudget(() => BUDGET_SETTINGS),
    );
    ratePerSecond = rate;
  },
);

When(
  "every request asks for a retry for {int} seconds",
  (seconds: number) => {
    const startMillis = 60_000;
    for (let i = 0; i < seconds * ratePerSecond; i++) {
      const nowMillis = startMillis + i * 1000 / ratePerSecond;
      for (const budget of budgets) {
        budget.recordRequest(nowMillis);
        requestTimes.push(nowMillis);
        const spent = budget.spend(nowMillis, { entries: budgets.length });
        if (spent) retryTimes.push(nowMillis);
      }
    }
  },
);

Then(
  "no window of 10 seconds has more retries than {float} of its requests plus {int}",
  (ratio: number, allowance: number) => {
    assert.ok(retryTimes.length > 100, "some retries were made");
    for (let start = 60_000; start <= 80_000; start += 250) {
      const inWindow = (time: number) => time >= start && time < start + 10_000;
      const retries = retryTimes.filter(inWindow).length;
      const requests = requestTimes.filter(inWindow).length;
      assert.ok(
        retries <= ratio * requests + allowance,
        `${start}: ${retries}`,
      );
    }
  },
);

Then(
  "an entry in its first 10 seconds retries at most the ratio of its own requests",
  () => {
    const budget = new RetryBudget(() => BUDGET_SETTINGS);
    assert.equal(budget.spend(500, { entries: 1 }), false);
    for (let i = 0; i < 100; i++) budget.recordRequest(1000 + i);
    let spent = 0;
    while (budget.spend(2000, { entries: 1 })) spent++;
    assert.ok(spent > 0 && spent <= 20, `${spent}`);
  },
);

let limiters: RateLimiter[] = [];
let coldRates: RateShare[] = [];
let coldEntries: string[] = [];
const coldTimes: number[] = [];

Given(
  "{int} entries of a region and a cold target that takes {float} requests per second",
  (entries: number, rate: number) => {
    limiters = Array.from({ length: entries }, () => new RateLimiter());
    coldTimes.length = 0;
    coldEntries = Array.from({ length: entries }, (_, i) => `entry-${i}`);
    coldRates = coldEntries.map((id) =>
      coldRateOf(id, { target: "cold", perSecond: rate })
    );
  },
);

Given(
  "{int} entries of a region that share a cold target with {float} requests per second",
  (count: number, perSecond: number) => {
    coldTimes.length = 0;
    coldEntries = Array.from({ length: count }, (_, i) => `entry-${i}`);
    coldRates = coldEntries.map((id) =>
      coldRateOf(id, { target: "cold", perSecond })
    );
    limiters = coldEntries.map(() => new RateLimiter());
  },
);

function coldRateOf(
  id: string,
  options: { target: string; perSecond: number },
): RateShare {
  const { target, perSecond } = options;
  return allocateRate(id, {
    terms: warmupTerms(perSecond),
    ranked: rankSenders(target, coldEntries),
    candidates: coldEntries.length,
  });
}

Then(
  "for each of {int} targets the entries' rates add up to the target's rate",
  (count: number) => {
    for (let i = 0; i < count; i++) {
      const rates = coldEntries.map((id) =>
        coldRateOf(id, { target: `target-${i}`, perSecond: 5.1 })
      );
      const sum = rates.reduce((a, b) => a + b.perSecond, 0);
      assert.ok(Math.abs(sum - 5.1) < 1e-9, `target-${i}: ${sum}`);
    }
  },
);

When(
  "all entries send as many requests as allowed for {int} seconds",
  (seconds: number) => {
    for (let nowMillis = 0; nowMillis < seconds * 1000; nowMillis += 5) {
      limiters.forEach((limiter, i) => {
        if (limiter.readyAtMillis(nowMillis, coldRates[i]) > nowMillis) return;
        limiter.take();
        coldTimes.push(nowMillis);
      });
    }
  },
);

Then("no second has more than {int} requests", (limit: number) => {
  assert.ok(coldTimes.length >= 10, "some requests were sent");
  for (const start of coldTimes) {
    const count = coldTimes.filter((t) => t >= start && t < start + 1000);
    assert.ok(count.length <= limit, `from ${start}: ${count.length}`);
  }
});

Then(
  "a target's rows applied in random order result in its newest state",
  () => {
    const rows = [1, 2, 3, 4, 5, 6].map((version) => ({
      id: "t",
      version,
      record: version % 3 === 0
        ? undefined
        : record("t", { draining: version === 5 }),
    }));
    fc.assert(
      fc.property(
        fc.shuffledSubarray(rows, { minLength: 1 }),
        (order) => {
          const registry = new TargetRegistry();
          for (const row of order) {
            registry.apply(row, {
              nowMillis: 0,
              storeRecoveredAtMillis: -Infinity,
            });
          }
          const newest = [...order].sort((a, b) => b.version - a.version)[0];
          const target = registry.get("t");
          assert.equal(target !== undefined, newest.record !== undefined);
          assert.equal(target?.record.draining, newest.record?.draining);
        },
      ),
      { seed: SEED },
    );
  },
);

let registry: TargetRegistry;
const LAPSED_AT_MILLIS = 50_000;

function dropRecord(storeRecoveredAtMillis: number): void {
  registry = new TargetRegistry();
  const times = { nowMillis: 0, storeRecoveredAtMillis: -Infinity };
  registry.apply({ id: "t", version: 1, record: record("t") }, times);
  registry.apply({ id: "t", version: 2, record: undefined }, {
    nowMillis: LAPSED_AT_MILLIS,
    storeRecoveredAtMillis,
  });
}

Given(
  "a target whose record disappears right after the store recovers",
  () => dropRecord(LAPSED_AT_MILLIS - 10),
);

Given(
  "a target whose record disappears while the store is available",
  () => dropRecord(-Infinity),
);

Then("it stays usable for 2 seconds and is removed after that", () => {
  assert.equal(LAPSE_GRACE_MILLIS, 2000);
  registry.expire(LAPSED_AT_MILLIS + 1900);
  assert.equal(registry.get("t")?.isLeaving(), false);
  assert.deepEqual(
    registry.expire(LAPSED_AT_MILLIS + 2000).removed,
    ["t"],
  );
  assert.equal(registry.get("t"), undefined);
});

const STORE_TIMES = { nowMillis: 0, storeRecoveredAtMillis: -Infinity };

Given(
  "a registry that starts with a snapshot of version {int} without targets",
  (version: number) => {
    registry = new TargetRegistry();
    registry.retain(new Set(), { version, ...STORE_TIMES });
  },
);

When("the row of a target with version {int} arrives", (version: number) => {
  registry.apply({ id: "t", version, record: record("t") }, STORE_TIMES);
});

Then("the target is no longer usable", () => {
  assert.equal(registry.get("t"), undefined);
  assert.equal(registry.forService("s").length, 0);
});

Given("a target that ran requests for object {string}", (object: string) => {
  registry = new TargetRegistry();
  registry.apply({ id: "t", version: 1, record: record("t") }, {
    nowMillis: 0,
    storeRecoveredAtMillis: -Infinity,
  });
  registry.get("t")?.recordSend(object, 10);
  assert.equal(registry.get("t")?.isWarmFor(object, 20), true);
});

When(
  "it registers again with another start time and {int} s of warm-up",
  (seconds: number) => {
    const newRecord = record("t", {
      bornMillis: 2,
      sequence: 0,
      warmupLeftMillis: seconds * 1000,
    });
    registry.apply({ id: "t", version: 2, record: newRecord }, {
      nowMillis: 100,
      storeRecoveredAtMillis: -Infinity,
    });
  },
);

Then("it is cold and not warm for {string}", (object: string) => {
  assert.equal(registry.get("t")?.isCold(2000), true);
  assert.equal(registry.get("t")?.isWarmFor(object, 200), false);
});

let targets: TargetState[] = [];
let homes: ObjectHomes;
let objectCount = 0;
let placementChanges: Partial<PlacementInput> = {};

Before(() => {
  placementChanges = {};
});

function place(object: string, nowMillis: number, load = 0.5) {
  homes = findHomes(object, targets, (target) => target.record.slots);
  const estimate = new WorkTimeEstimate({ objectiveMillis: 300 });
  for (let i = 0; i < 50; i++) {
    estimate.addSample(60, { warm: true });
    estimate.addSample(200, { warm: false });
  }
  return placeRequest(targets, {
    object,
    nowMillis,
    estimate,
    load,
    objectiveRemainingMillis: 300,
    roundTripMillis: () => 1,
    homes,
    isAllowed: () => true,
    warmupShare: () => ({ perSecond: 0, burst: 1 }),
    limitShare: () => ({ perSecond: Infinity, burst: 1 }),
    exclude: new Set(),
    ...placementChanges,
  });
}

Given(
  "{int} targets and {int} objects with requests for half of the slots",
  (count: number, objects: number) => {
    targets = Array.from(
      { length: count },
      (_, i) => targetState(`target-${i}`),
    );
    objectCount = objects;
  },
);

Then(
  "each object's requests use at most {int} targets and {int} in 10 requests go to the first home",
  (limit: number, tenths: number) => {
    const random = seededRandom(SEED);
    const reached = new Map<string, Set<string>>();
    const running: { target: TargetState; endMillis: number }[] = [];
    const slots = targets.length * 3;
    let atHome = 0;
    const requests = 6000;
    // Work of 60 ms that occupies half of the slots.
    const gapMillis = 60 / (slots / 2);
    for (let i = 0; i < requests; i++) {
      const nowMillis = i * gapMillis;
      for (const job of running.filter((j) => j.endMillis <= nowMillis)) {
        job.target.recordEnd();
        running.splice(running.indexOf(job), 1);
      }
      const object = `object-${Math.floor(random() * objectCount)}`;
      const placement = place(object, nowMillis);
      assert.equal(placement.kind, "send");
      if (placement.kind !== "send") continue;
      const { target } = placement;
      target.recordSend(object, nowMillis);
      running.push({ target, endMillis: nowMillis + 60 });
      if (target === homes.first) atHome++;
      const seen = reached.get(object) ?? new Set();
      reached.set(object, seen.add(target.record.id));
    }
    const maxReached = Math.max(
      ...[...reached.values()].map((set) => set.size),
    );
    assert.ok(maxReached <= limit, `targets of one object: ${maxReached}`);
    assert.ok(
      atHome >= requests * tenths / 10,
      `requests at their home: ${atHome}`,
    );
  },
);

Given(
  "an object whose first home is full, and other targets that are free",
  () => {
    targets = Array.from({ length: 4 }, (_, i) => targetState(`target-${i}`));
    place("o", 0);
    for (let i = 0; i < 12; i++) homes.first?.recordSend("o", 0);
  },
);

Then("the request goes to a free target", () => {
  const placement = place("o", 10);
  assert.equal(placement.kind, "send");
  assert.notEqual(placement.kind === "send" && placement.target, homes.first);
});

Given(
  "{int} targets that are all free except an object's homes",
  (count: number) => {
    targets = Array.from(
      { length: count },
      (_, i) => targetState(`target-${i}`),
    );
    place("o", 0);
    for (let i = 0; i < 12; i++) {
      homes.first?.recordSend("o", 0);
      homes.second?.recordSend("o", 0);
    }
  },
);

Then(
  "the placement is full at load {float}, and the request goes to another target at load {float}",
  (high: number, low: number) => {
    assert.equal(place("o", 10, high).kind, "full");
    assert.equal(place("o", 10, low).kind, "send");
  },
);

Given(
  "targets of which a request may not use {string}, {string}, {string} and {string}",
  (elsewhere: string, paused: string, leaving: string, tried: string) => {
    targets = [elsewhere, paused, leaving, tried].map((id) => targetState(id));
    for (const target of targets) recordSends(target, 2 * target.record.slots);
    targets[1].requestPause(1000, 0);
    targets[2].markLeaving();
    placementChanges = {
      isAllowed: (target) => target.record.id !== elsewhere,
      exclude: new Set([tried]),
    };
  },
);

Given(
  "{string} has twice as many requests as slots, and {string} one, but free slots",
  (busyId: string, returnedId: string) => {
    const busy = targetState(busyId);
    recordSends(busy, 2 * busy.record.slots);
    const returned = targetState(returnedId);
    returned.returnRamp.begin();
    recordSends(returned, 1);
    targets.push(busy, returned);
  },
);

Then(
  "only {string} and {string} are full for the request",
  (busyId: string, returnedId: string) => {
    const placement = place("o", 10);
    const fullIds = placement.kind === "full"
      ? placement.fullTargets.map((target) => target.record.id)
      : placement.kind;
    assert.deepEqual(fullIds, [busyId, returnedId]);
  },
);

function recordSends(target: TargetState, count: number): void {
  for (let i = 0; i < count; i++) target.recordSend("o", 0);
}

const LATE_REQUEST = {
  waitMillis: 0,
  serviceMillis: 500,
  remainingMillis: 1000,
  objectiveRemainingMillis: 300,
  isEstimateStale: false,
  random: 0,
};

Then(
  "a late request is accepted at load {float} and refused at load {float}",
  (low: number, high: number) => {
    assert.equal(admitRequest({ ...LATE_REQUEST, load: low }).kind, "accept");
    assert.equal(admitRequest({ ...LATE_REQUEST, load: high }).kind, "refuse");
  },
);

Then(
  "at load {float} a request of {int} ms is refused with {int} ms left and accepted with {int} ms left",
  (load: number, serviceMillis: number, little: number, enough: number) => {
    const admit = (remainingMillis: number) =>
      admitRequest({
        ...LATE_REQUEST,
        load,
        serviceMillis,
        remainingMillis,
      }).kind;
    // A quarter of the expected time has to remain.
    assert.equal(admit(little), "refuse");
    assert.equal(admit(enough), "accept");
  },
);

Then(
  "a request with {int} ms left behind a queue of {int} s is refused with a Retry-After of at least {float} s",
  (remainingMillis: number, queueSeconds: number, retrySeconds: number) => {
    const admission = admitRequest({
      waitMillis: queueSeconds * 1000,
      serviceMillis: 60,
      remainingMillis,
      objectiveRemainingMillis: -100,
      load: 0.2,
      random: 0,
    });
    assert.equal(admission.kind, "refuse");
    assert.ok(
      admission.kind === "refuse" &&
        admission.retryAfterMillis >= retrySeconds * 1000,
    );
  },
);

interface NamedRequest {
  name: string;
  priority: number;
  objectiveAtMillis: number;
  arrivedAtMillis: number;
}
let queue: WaitQueue<NamedRequest>;

Given("a wait queue with a late, an urgent and an ordinary request", () => {
  queue = new WaitQueue();
  const add = (name: string, priority: number, objectiveAtMillis: number) =>
    queue.add({ name, priority, objectiveAtMillis, arrivedAtMillis: 0 });
  add("late", 0, 50);
  add("ordinary", 2, 400);
  add("urgent", 1, 500);
});

Then("they are dequeued in the order urgent, ordinary, late", () => {
  const names = [0, 1, 2].map(() => queue.take(100, { workMillis: 60 })?.name);
  assert.deepEqual(names, ["urgent", "ordinary", "late"]);
  assert.equal(queue.take(100, { workMillis: 60 }), undefined);
});
