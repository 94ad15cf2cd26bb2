/**
 * Steps for routing decisions.
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { AttemptBudget } from "@bamboolane/route/attempt_budget";
import {
  applyMoves,
  chooseDataCentres,
  type DataCentreCandidate,
  movedShare,
  type PoolView,
} from "@bamboolane/route/choose_data_centre";
import { chooseTarget, type TargetView } from "@bamboolane/route/choose_target";
import { CrashTracker } from "@bamboolane/route/crash_tracker";
import { LaneLearner } from "@bamboolane/route/lane_learner";
import { PeerLossAllowance } from "@bamboolane/route/peer_loss_allowance";
import { LinkBudget } from "@bamboolane/route/link_budget";
import { sampleFleet } from "@bamboolane/test-utils/sample_fleet";
import { seededRandom } from "@bamboolane/test-utils/seeded_random";
import type { Move } from "@bamboolane/types/fleet";

const PROPERTY_SEED = 12;
const BULK_AFTER_MILLIS = 300;
let candidates: DataCentreCandidate[] = [];
let targets: TargetView[] = [];
let learner: LaneLearner;
let crashes: CrashTracker;
let budget: LinkBudget;

function moveOf(capShare: number, shares: number[]): Move {
  const steps = shares.map((share) => share * capShare).sort((a, b) => a - b);
  return {
    id: "mv",
    service: "s1",
    from: "a1",
    to: "b1",
    capShare,
    steps,
    step: 0,
    state: "running",
    owner: "ops",
    reason: "test of steps",
  };
}

Then(
  "random moves shift nested sets of blocks and never exceed the cap",
  () => {
    const share = fc.double({ min: 0, max: 1, noNaN: true });
    fc.assert(
      fc.property(
        share,
        fc.array(share, { minLength: 1, maxLength: 5 }),
        (capShare, shares) => {
          const move = moveOf(capShare, shares);
          let before = new Set<string>();
          move.steps.forEach((_, step) => {
            const stepped = { ...move, step };
            assert.ok(movedShare(stepped) <= capShare);
            const fleet = sampleFleet({ overrides: { moves: [stepped] } });
            const moved = new Set<string>();
            for (let block = 0; block < 100; block++) {
              const blockKey = String(block);
              const { home } = applyMoves(fleet, {
                service: "s1",
                home: "a1",
                blockKey,
              });
              if (home === "b1") moved.add(blockKey);
            }
            for (const block of before) assert.ok(moved.has(block));
            before = moved;
          });
          const aborted = {
            ...move,
            step: move.steps.length - 1,
            state: "aborted" as const,
          };
          assert.equal(movedShare(aborted), 0);
        },
      ),
      { seed: PROPERTY_SEED, numRuns: 100 },
    );
  },
);

function pool(dataCentre: string, fields: Partial<PoolView> = {}): PoolView {
  return {
    dataCentre,
    reachable: true,
    freeSlots: 3,
    queued: 0,
    slots: 3,
    typicalMillis: 20,
    ...fields,
  };
}

function choose(pools: PoolView[], cutOff: boolean): DataCentreCandidate[] {
  const fleet = sampleFleet();
  return chooseDataCentres({
    fleet,
    service: fleet.services[0],
    home: "a1",
    localDataCentre: "a1",
    pools,
    cutOff,
  });
}

Given("pools where the home has no free slot and a long queue", () => {
  candidates = choose([
    pool("a1", { freeSlots: 0, queued: 20 }),
    pool("a2"),
    pool("b1"),
  ], false);
});

Then("the other data centre of the same region is ranked first", () => {
  assert.equal(candidates[0].dataCentre, "a2");
});

Given("a cut-off instance and free pools everywhere", () => {
  candidates = choose([pool("a1"), pool("a2"), pool("b1")], true);
});

Then("only pools of its region and the client's home are candidates", () => {
  assert.deepEqual(candidates.map((c) => c.dataCentre).sort(), ["a1", "a2"]);
});

Given("three full fast targets and a free one ten times slower", () => {
  const fast = {
    slots: 3,
    inFlight: 3,
    free: 0,
    latencyMillis: 10,
    ejected: false,
  };
  targets = ["t1", "t2", "t3"].map((id) => ({ id, ...fast }));
  targets.push({
    id: "slow",
    slots: 3,
    inFlight: 0,
    free: 3,
    latencyMillis: 100,
    ejected: false,
  });
});

const random = seededRandom(5);

Then("the strategy decides to wait", () => {
  const choice = chooseTarget({ kind: "expected-finish" }, targets, random);
  assert.equal(choice.kind, "wait");
});

Then("with all fast targets ejected it picks the slow one", () => {
  const ejectedFast = targets.map((t) => ({ ...t, ejected: t.id !== "slow" }));
  const choice = chooseTarget({ kind: "expected-finish" }, ejectedFast, random);
  assert.deepEqual([choice.kind, "id" in choice && choice.id], [
    "target",
    "slow",
  ]);
});

When("a route takes 400 ms on each target", () => {
  learner = new LaneLearner({ maxRoutes: 10 });
  for (let i = 0; i < 16; i++) {
    learner.observe("long", 400, { bulkAfterMillis: BULK_AFTER_MILLIS });
  }
});

Then("the route is learned as long", () => assert.ok(learner.isLong("long")));

When(
  "a short route takes 400 ms on a quarter of its targets and 10 ms on the rest",
  () => {
    for (let i = 0; i < 64; i++) {
      learner.observe("short", i % 4 === 0 ? 400 : 10, {
        bulkAfterMillis: BULK_AFTER_MILLIS,
      });
    }
  },
);

Then(
  "the short route is not learned as long",
  () => assert.ok(!learner.isLong("short")),
);

Then(
  "with 10000 first attempts and a budget of 5 percent at most 520 extra attempts are allowed",
  () => {
    const attempts = new AttemptBudget({ initialTokens: 3 });
    let extra = 0;
    for (let i = 0; i < 10_000; i++) {
      attempts.earn(0.05);
      if (attempts.spend()) extra++;
    }
    assert.ok(extra > 400 && extra <= 520, String(extra));
  },
);

When(
  "a request crashed target {string} on this instance and target {string} on a peer",
  (own: string, theirs: string) => {
    crashes = new CrashTracker({ maxFingerprints: 10, retentionMillis: 1000 });
    crashes.recordCrash("bad", own, 0);
    crashes.recordCrash("neighbour", own, 0);
    crashes.merge({ fingerprint: "bad", targets: [theirs] }, 0);
  },
);

Then(
  "the request is held back",
  () => assert.ok(crashes.isHeldBack("bad", 10)),
);

Then("a request that crashed only one target is not held back", () => {
  assert.ok(!crashes.isHeldBack("neighbour", 10));
  assert.ok(crashes.isSuspect("neighbour"));
});

Then(
  "the crashes expire after the retention time",
  () => assert.ok(!crashes.isHeldBack("bad", 2000)),
);

Given("a link budget of {int} bytes per second", (bytesPerSecond: number) => {
  budget = new LinkBudget({ bytesPerSecond, nowMillis: 0 });
});

When("interactive bytes use up the burst", () => {
  while (budget.take(10_000, "bulk", { nowMillis: 0 }) === 0);
  assert.equal(budget.take(10_000, "interactive", { nowMillis: 0 }), 0);
});

Then("bulk has to wait and interactive requests don't", () => {
  assert.ok(budget.take(1000, "bulk", { nowMillis: 0 }) > 0);
  assert.equal(budget.take(1000, "interactive", { nowMillis: 0 }), 0);
  assert.equal(budget.take(1000, "bulk", { nowMillis: 1000 }), 0);
});

let allowance: PeerLossAllowance;
let peer = { id: "e1", incarnation: 1 };

function beginRequests(count: number): void {
  for (let i = 0; i < count; i++) allowance.begin(peer);
}

Given(
  "{int} requests under way at an entry when it is lost",
  (count: number) => {
    allowance = new PeerLossAllowance();
    peer = { id: "e1", incarnation: 1 };
    beginRequests(count);
  },
);

When(
  "{int} requests are sent to it again and it is lost again",
  (count: number) => beginRequests(count),
);

When(
  "{int} requests are sent to its next run and it is lost again",
  (count: number) => {
    peer = { ...peer, incarnation: peer.incarnation + 1 };
    beginRequests(count);
  },
);

Then(
  "{int} of {int} retries of its requests are allowed",
  (allowed: number, asked: number) => {
    const granted = Array.from({ length: asked }, () => allowance.spend(peer))
      .filter((isAllowed) => isAllowed).length;
    assert.equal(granted, allowed);
  },
);
