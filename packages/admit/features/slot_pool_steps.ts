/**
 * Steps for slot pools.
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import {
  type PoolEvent,
  type PoolRequest,
  SlotPool,
} from "@bamboolane/admit/slot_pool";
import { seededRandom } from "@bamboolane/test-utils/seeded_random";
import type { Lane } from "@bamboolane/types/fleet";

const PROPERTY_SEED = 13;
const SLOTS = 3;
const CAP_IN_FLIGHT = 7;
const BULK_SHARE = 0.34;
let pool: SlotPool;
let nextId = 0;
let events: PoolEvent[] = [];

function createPool(targetCount: number, capInFlight = 1000): SlotPool {
  const created = new SlotPool({ random: seededRandom(1), weightOf: () => 1 });
  const targets = Array.from(
    { length: targetCount },
    (_, i) => ({ id: `t${i}`, slots: SLOTS }),
  );
  created.configure(targets, {
    capInFlight,
    queueLimit: 1000,
    maxEjectedShare: 0.4,
  });
  return created;
}

function requestOf(lane: Lane, fields: Partial<PoolRequest> = {}): PoolRequest {
  return {
    id: `r${++nextId}`,
    member: "m1",
    lane,
    waitUntilMillis: 1_000_000,
    bulkShare: BULK_SHARE,
    bulkAfterMillis: 300,
    ...fields,
  };
}

type Action =
  | { kind: "offer"; lane: Lane; member: string }
  | {
    kind: "finish";
    pick: number;
    outcome: "success" | "failure" | "cancelled";
  }
  | { kind: "drain"; target: number; draining: boolean }
  | { kind: "tick"; millis: number };

const action: fc.Arbitrary<Action> = fc.oneof(
  fc.record({
    kind: fc.constant("offer" as const),
    lane: fc.constantFrom<Lane>("interactive", "bulk"),
    member: fc.constantFrom("m1", "m2"),
  }),
  fc.record({
    kind: fc.constant("finish" as const),
    pick: fc.nat(100),
    outcome: fc.constantFrom(
      "success" as const,
      "failure" as const,
      "cancelled" as const,
    ),
  }),
  fc.record({
    kind: fc.constant("drain" as const),
    target: fc.nat(2),
    draining: fc.boolean(),
  }),
  fc.record({ kind: fc.constant("tick" as const), millis: fc.nat(400) }),
);

interface Holder {
  target: string;
  lane: Lane;
}

/** Runs the actions and passes each resulting state to `check`. */
function simulate(
  actions: Action[],
  check: (
    holders: Map<string, Holder>,
    admitted: string[],
    draining: Set<string>,
  ) => void,
): { ended: Set<string>; offered: Map<string, PoolRequest>; late: string[] } {
  const subject = createPool(3, CAP_IN_FLIGHT);
  const holders = new Map<string, Holder>();
  const offered = new Map<string, PoolRequest>();
  const ended = new Set<string>();
  const draining = new Set<string>();
  const late: string[] = [];
  let now = 0;
  function take(list: PoolEvent[]) {
    const admitted: string[] = [];
    for (const event of list) {
      if (event.kind === "queued") continue;
      assert.ok(!ended.has(event.id), "admitted or refused twice");
      ended.add(event.id);
      if (event.kind === "refused") continue;
      const request = offered.get(event.id) as PoolRequest;
      if (now > request.waitUntilMillis) late.push(event.id);
      holders.set(event.id, { target: event.target, lane: request.lane });
      admitted.push(event.target);
    }
    check(holders, admitted, draining);
  }
  for (const step of actions) {
    switch (step.kind) {
      case "offer": {
        const request = requestOf(step.lane, {
          member: step.member,
          waitUntilMillis: now + 500,
        });
        offered.set(request.id, request);
        take(subject.offer(request, now));
        break;
      }
      case "finish": {
        const id = [...holders.keys()][step.pick % Math.max(1, holders.size)];
        if (id === undefined) break;
        holders.delete(id);
        take(
          subject.finish(id, step.outcome, {
            durationMillis: 10,
            nowMillis: now,
          }),
        );
        break;
      }
      case "drain":
        if (step.draining) draining.add(`t${step.target}`);
        else draining.delete(`t${step.target}`);
        subject.setDraining(`t${step.target}`, step.draining);
        break;
      case "tick":
        now += step.millis;
        take(subject.advance(now));
    }
  }
  now += 10_000;
  take(subject.advance(now));
  return { ended, offered, late };
}

Then(
  "random requests, completions, drains and clock steps never violate a limit",
  () => {
    fc.assert(
      fc.property(fc.array(action, { maxLength: 150 }), (actions) => {
        simulate(actions, (holders, admitted, draining) => {
          assert.ok(holders.size <= CAP_IN_FLIGHT);
          for (const target of admitted) assert.ok(!draining.has(target));
          const byTarget = new Map<string, Holder[]>();
          for (const holder of holders.values()) {
            byTarget.set(holder.target, [
              ...byTarget.get(holder.target) ?? [],
              holder,
            ]);
          }
          for (const list of byTarget.values()) {
            assert.ok(list.length <= SLOTS);
            const bulk = list.filter((h) => h.lane === "bulk").length;
            assert.ok(bulk <= Math.floor(SLOTS * BULK_SHARE));
          }
        });
      }),
      { seed: PROPERTY_SEED, numRuns: 300 },
    );
  },
);

Then(
  "all random requests are admitted or refused, and none is admitted after its wait limit",
  () => {
    fc.assert(
      fc.property(fc.array(action, { maxLength: 150 }), (actions) => {
        const { ended, offered, late } = simulate(actions, () => {});
        assert.deepEqual(late, []);
        assert.equal(ended.size, offered.size);
      }),
      { seed: PROPERTY_SEED, numRuns: 300 },
    );
  },
);

/**
 * Fills a pool of at most 6 slots and queues `waiting` requests, or as many as
 * the queue takes; returns the ids that hold slots.
 */
function fill(member: string, waiting: number): string[] {
  const held: string[] = [];
  for (let i = 0; i < waiting + 6; i++) {
    const [event] = pool.offer(requestOf("interactive", { member }), 0);
    if (event.kind === "admitted") held.push(event.id);
  }
  return held;
}

let held: string[] = [];

Given(
  "a pool of two targets of 3 slots with a long queue of interactive requests",
  () => {
    pool = createPool(2);
    held = fill("m1", 200);
  },
);

When("a bulk request arrives", () => {
  events = pool.offer(requestOf("bulk"), 0);
});

/** Finishes the oldest requests until `id` is admitted; returns the number of other admissions. */
function admissionsBefore(id: string): number {
  for (let count = 0; count < 100; count++) {
    const ended = held.shift() as string;
    const options = { durationMillis: 10, nowMillis: 10 };
    for (const event of pool.finish(ended, "success", options)) {
      if (event.kind !== "admitted") continue;
      if (event.id === id) return count;
      held.push(event.id);
    }
  }
  return Infinity;
}

Then(
  "the bulk request is admitted before {int} more interactive requests",
  (limit: number) => {
    assert.ok(admissionsBefore(events[0].id) < limit);
  },
);

Given(
  "a pool of two targets of 3 slots where one member has 100 requests waiting",
  () => {
    pool = createPool(2);
    held = fill("m1", 100);
  },
);

When("another member sends one request", () => {
  events = pool.offer(requestOf("interactive", { member: "m2" }), 0);
});

Then("its request is among the next {int} admitted", (limit: number) => {
  assert.ok(admissionsBefore(events[0].id) < limit);
});

When("every target fails repeatedly", () => {
  pool = createPool(10);
  for (let i = 0; i < 500; i++) {
    const [event] = pool.offer(requestOf("interactive"), 0);
    if (event.kind === "admitted") {
      pool.finish(event.id, "failure", { durationMillis: 5, nowMillis: 0 });
    }
  }
});

Then("at most {int} percent of 10 targets are ejected", (percent: number) => {
  const ejectedCount = pool.status(0).targets.filter((t) => t.ejected).length;
  assert.ok(
    ejectedCount > 0 && ejectedCount <= percent / 10,
    String(ejectedCount),
  );
});

Given(
  "a target of 3 slots with an interactive request that runs too long",
  () => {
    pool = createPool(1);
    pool.offer(requestOf("interactive"), 0);
  },
);

Then("bulk gets no slot on this target", () => {
  const [event] = pool.offer(requestOf("bulk"), 1000);
  assert.equal(event.kind, "queued");
});

Given("a paused pool", () => {
  pool = createPool(1);
  pool.setPaused(true);
});

Then("a request waits until the pool is resumed", () => {
  const [event] = pool.offer(requestOf("interactive"), 0);
  assert.equal(event.kind, "queued");
  pool.setPaused(false);
  assert.deepEqual(pool.advance(1).map((e) => [e.kind, e.id]), [[
    "admitted",
    event.id,
  ]]);
});

Given(
  "a pool whose queue of {int} is full of one member's requests",
  (limit: number) => {
    pool = createPool(1);
    pool.configure([{ id: "t0", slots: SLOTS }], {
      capInFlight: 1000,
      queueLimit: limit,
      maxEjectedShare: 0.4,
    });
    fill("m1", limit);
  },
);

Then(
  "its request is queued and the newest request of the flooding member is refused",
  () => {
    assert.deepEqual(events.map((e) => e.kind), ["queued", "refused"]);
    const [again] = pool.offer(requestOf("interactive", { member: "m1" }), 0);
    assert.equal(again.kind, "refused");
  },
);
