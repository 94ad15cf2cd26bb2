/**
 * Steps for agreement.
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { AppliedConfig } from "@bamboolane/agree/applied_config";
import { DutyLease } from "@bamboolane/agree/duty_lease";
import { editFleet, type FleetEdit } from "@bamboolane/agree/edit_fleet";
import {
  type ConfigChange,
  publishRevision,
} from "@bamboolane/agree/publish_revision";
import { readHead, readHistory } from "@bamboolane/agree/read_revision";
import { ResultCode } from "@bamboolane/errors/result_code";
import type { SteeringError } from "@bamboolane/errors/steering_error";
import { FakeClock } from "@bamboolane/test-utils/fake_clock";
import {
  type CallFault,
  MemoryPlatform,
} from "@bamboolane/test-utils/memory_platform";
import { sampleFleet } from "@bamboolane/test-utils/sample_fleet";
import { seededRandom } from "@bamboolane/test-utils/seeded_random";
import type { ConfigBody } from "@bamboolane/types/fleet";

const PROPERTY_SEED = 15;
let platform: MemoryPlatform;

interface ReportedResult {
  changeId: string;
  result: "published" | "refused" | "in-doubt";
}

function makeChange(
  changeId: string,
  fields: Partial<ConfigChange> = {},
): ConfigChange {
  return {
    changeId,
    operator: `operator-${changeId}`,
    summary: `summary of ${changeId}`,
    edit: (fleet) => fleet ?? sampleFleet(),
    ...fields,
  };
}

function classify(error: SteeringError): ReportedResult["result"] {
  return error.info === ResultCode.publishInDoubt ? "in-doubt" : "refused";
}

/** Runs concurrent publishers on a store with random faults. */
async function publishMany(
  seed: number,
): Promise<{ reported: ReportedResult[]; history: string[] }> {
  const random = seededRandom(seed);
  const store = new MemoryPlatform();
  await publishRevision(store, makeChange("first"));
  store.chooseFault = (kind): CallFault => {
    const roll = random();
    if (roll < 0.7) return "none";
    if (roll < 0.8 || kind === "read") return "fails";
    return roll < 0.9 ? "answer-lost" : "late";
  };
  const publish = async (changeId: string): Promise<ReportedResult> => {
    try {
      await publishRevision(store, makeChange(changeId));
      return { changeId, result: "published" };
    } catch (error) {
      if (random() < 0.5) store.applyDelayedCall();
      return { changeId, result: classify(error as SteeringError) };
    }
  };
  const reported = await Promise.all(
    Array.from({ length: 6 }, (_, i) => publish(`c${i}`)),
  );
  for (let i = 0; i < 10; i++) store.applyDelayedCall();
  store.chooseFault = () => "none";
  const { head } = await readHead(store);
  assert.ok(head);
  const history = await readHistory(store, head, { limit: 100 });
  assert.deepEqual(
    history.map((h) => h.revision),
    history.map((_, i) => history.length - i),
  );
  return { reported, history: history.map((h) => h.changeId) };
}

let runs: { reported: ReportedResult[]; history: string[] }[] = [];

Then(
  "random concurrent publications with lost, late and failed store calls keep one linear history",
  async () => {
    runs = [];
    for (let seed = 1; seed <= 300; seed++) runs.push(await publishMany(seed));
  },
);

Then(
  "each change that was reported as published is in the history once",
  () => {
    for (const { reported, history } of runs) {
      for (
        const { changeId } of reported.filter((t) => t.result === "published")
      ) {
        assert.equal(history.filter((id) => id === changeId).length, 1);
      }
    }
  },
);

Then("no change that was reported as refused is in the history", () => {
  const results = new Set<string>();
  for (const { reported, history } of runs) {
    for (const { changeId, result } of reported) {
      results.add(result);
      if (result === "refused") {
        assert.ok(!history.includes(changeId), changeId);
      }
    }
  }
  assert.deepEqual([...results].sort(), ["in-doubt", "published", "refused"]);
});

Given("a published revision", async () => {
  platform = new MemoryPlatform();
  await publishRevision(platform, makeChange("first"));
});

let outcomes: PromiseSettledResult<unknown>[] = [];

When("two operators publish on revision 1 at once", async () => {
  outcomes = await Promise.allSettled(
    ["left", "right"].map((id) =>
      publishRevision(platform, makeChange(id, { baseRevision: 1 }))
    ),
  );
});

Then(
  "one succeeds and the other gets a conflict that names both changes",
  () => {
    const rejected = outcomes.filter((o) => o.status === "rejected");
    assert.equal(rejected.length, 1);
    const error = rejected[0].reason as SteeringError;
    assert.equal(error.info, ResultCode.conflict);
    assert.match(error.message, /left/);
    assert.match(error.message, /right/);
  },
);

When("the answer to a change is lost and the change is resent", async () => {
  let calls = 0;
  platform.chooseFault = (kind) =>
    kind === "write" && ++calls === 1 ? "answer-lost" : "none";
  await publishRevision(platform, makeChange("again"));
  await publishRevision(platform, makeChange("again", { resend: true }));
});

let publishError: SteeringError | undefined;

/** Publishes a change whose first write has a fault, and keeps the error. */
async function publishUnreadably(fault: CallFault): Promise<void> {
  let writes = 0;
  platform.chooseFault = (kind) => {
    if (kind !== "write") return "none";
    platform.objectsUnreadable = true;
    if (++writes === 1) return fault;
    platform.applyDelayedCall();
    return "none";
  };
  publishError = undefined;
  await publishRevision(platform, makeChange("again")).catch((error) => {
    publishError = error as SteeringError;
  });
  platform.chooseFault = () => "none";
}

When(
  "a change is written without an answer, and no revision can be read after that",
  () => publishUnreadably("answer-lost"),
);

When(
  "a change is written after its time is up and it is retried, and no revision can be read after that",
  () => publishUnreadably("late"),
);

Then("the change is in doubt", () => {
  assert.equal(publishError?.info, ResultCode.publishInDoubt);
});

When("revisions can be read again and the change is resent", async () => {
  platform.objectsUnreadable = false;
  platform.applyDelayedCall();
  await publishRevision(platform, makeChange("again", { resend: true }));
});

Then("revision 2 contains it and there is no revision 3", async () => {
  const { head } = await readHead(platform);
  assert.deepEqual([head?.revision, head?.changeId], [2, "again"]);
});

function makeBody(revision: number): ConfigBody {
  return {
    revision,
    changeId: `c${revision}`,
    operator: "ops",
    summary: "",
    previousHash: "",
    fleet: sampleFleet(),
    blockChunks: [],
  };
}

Then(
  "random proofs from stale, late and current sources never lower the revision or let an outdated one count as fresh",
  () => {
    const freshnessMillis = 4000;
    // `delay` is the age of a report on arrival; a tenth of it passes before
    // the report is evaluated.
    const message = fc.record({
      revision: fc.integer({ min: 1, max: 8 }),
      delay: fc.nat(6000),
    });
    fc.assert(
      fc.property(fc.array(message, { maxLength: 60 }), (messages) => {
        // Revision r is the newest from r * 2000 until (r + 1) * 2000.
        const newestAt = (millis: number) =>
          Math.max(1, Math.floor(millis / 2000));
        const config = new AppliedConfig({ freshnessMillis });
        let now = 2000;
        let highest = 0;
        for (const { revision, delay } of messages) {
          now += delay / 10;
          const provenAtMillis = Math.max(0, now - delay);
          const reportedRevision = Math.min(revision, newestAt(provenAtMillis));
          const proven = reportedRevision === newestAt(provenAtMillis)
            ? provenAtMillis
            : -Infinity;
          const proof = {
            revision: reportedRevision,
            hash: `h${reportedRevision}`,
            provenAtMillis: proven,
          };
          const verdict = config.evaluateProof(proof);
          if (verdict.kind === "behind") {
            config.apply({
              head: { ...proof, changeId: "" },
              body: makeBody(reportedRevision),
            });
            config.evaluateProof(proof);
          }
          assert.ok(config.revision >= highest, "the revision went back");
          highest = config.revision;
          if (config.isCutOff(now)) continue;
          const minRevision = newestAt(now - freshnessMillis);
          assert.ok(
            config.revision >= minRevision,
            `revision ${config.revision} below ${minRevision}`,
          );
        }
      }),
      { seed: PROPERTY_SEED, numRuns: 500 },
    );
  },
);

Then(
  "random sequences of renewals and pauses never show two holders or a write by a former holder",
  async () => {
    let writes = 0;
    for (let seed = 1; seed <= 200; seed++) writes += await runLeases(seed);
    assert.ok(writes > 500, `only ${writes} writes`);
  },
);

const LEASE_MILLIS = 6000;

/** Runs three instances with random pauses; returns how many fenced writes were committed. */
async function runLeases(seed: number): Promise<number> {
  const random = seededRandom(seed);
  const store = new MemoryPlatform();
  const clock = new FakeClock();
  store.chooseFault = () => {
    const roll = random();
    return roll < 0.8 ? "none" : roll < 0.9 ? "fails" : "answer-lost";
  };
  const leases = ["e1", "e2", "e3"].map((holder) =>
    new DutyLease({
      duty: "moves",
      holder,
      incarnation: 1,
      leaseMillis: LEASE_MILLIS,
      platform: store,
      clock,
    })
  );
  let writes = 0;
  for (let step = 0; step < 60; step++) {
    const index = Math.floor(random() * leases.length);
    const status = await leases[index].renewOrAcquire();
    if (status.kind === "held") {
      // The holder is paused between its check and its write.
      clock.advance(random() < 0.2 ? LEASE_MILLIS * 2 * random() : 10);
      if (random() < 0.3) await leases[(index + 1) % 3].renewOrAcquire();
      const result = await store.table.transact(
        [{ key: `work/${step}`, expectVersion: 0, value: index }],
        [status.check],
      ).catch(() => undefined);
      const row = store.row("lease/moves");
      if (result?.kind === "committed") {
        writes++;
        assert.equal((row.value as { holder: string }).holder, `e${index + 1}`);
      }
    }
    const held = leases.filter((lease) => lease.current().kind === "held");
    assert.ok(held.length <= 1, "two holders");
    clock.advance(random() * 3000);
  }
  return writes;
}

const EDITS: Record<string, FleetEdit> = {
  "exception without a reason": {
    kind: "exception-add",
    exception: {
      id: "x",
      match: {},
      change: { bulkShare: 1 },
      owner: "ops",
      reason: "",
    },
  },
  "exception that exists": {
    kind: "exception-add",
    exception: {
      id: "known",
      match: {},
      change: { bulkShare: 1 },
      owner: "ops",
      reason: "an id that is already in use",
    },
  },
  "retire an unknown exception": { kind: "exception-retire", id: "nobody" },
  "move above its cap": {
    kind: "move-plan",
    move: {
      id: "mv",
      service: "s1",
      from: "a1",
      to: "b1",
      capShare: 0.2,
      steps: [0.3],
      step: -1,
      state: "planned",
      owner: "ops",
      reason: "a move that is too large",
    },
  },
  "advance an unknown move": { kind: "move", id: "nobody", action: "advance" },
  "drain twice": {
    kind: "drain-add",
    drain: {
      kind: "target",
      id: "t1",
      owner: "ops",
      reason: "planned maintenance",
    },
  },
};

let refusal: SteeringError | undefined;

When("the edit {string} is made", (name: string) => {
  const fleet = sampleFleet({
    overrides: {
      exceptions: [{
        id: "known",
        match: {},
        change: { bulkShare: 0.5 },
        owner: "ops",
        reason: "an existing exception",
      }],
      drains: [{
        kind: "target",
        id: "t1",
        owner: "ops",
        reason: "planned maintenance",
      }],
    },
  });
  refusal = undefined;
  try {
    editFleet(fleet, EDITS[name]);
  } catch (error) {
    refusal = error as SteeringError;
  }
});

Then(
  "it is refused as {string}",
  (result: string) => assert.equal(refusal?.info.name, result),
);
