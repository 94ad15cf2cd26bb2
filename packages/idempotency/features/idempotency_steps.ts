/**
 * Steps for at-most-once execution.
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  type ClaimResult,
  claimRowKey,
  ClaimStore,
} from "@bamboolane/idempotency/claim_store";
import {
  ExecutionTable,
  type KeptAnswer,
  type StartResult,
} from "@bamboolane/idempotency/execution_table";
import {
  BatchWriter,
  type RowResult,
} from "@bamboolane/idempotency/batch_writer";
import { OutcomeLog } from "@bamboolane/idempotency/outcome_log";
import { TicketIssuer } from "@bamboolane/idempotency/ticket_issuer";
import { FakeClock } from "@bamboolane/test-utils/fake_clock";
import { MemoryPlatform } from "@bamboolane/test-utils/memory_platform";
import { seededRandom } from "@bamboolane/test-utils/seeded_random";

let ticketIssuer: TicketIssuer;
let ticket = "";

function createTicketIssuer(
  instance: string,
  incarnation: number,
): TicketIssuer {
  return new TicketIssuer({ instance, incarnation, lifetimeMillis: 1000 });
}

Given("a ticket of instance {string}", (instance: string) => {
  ticketIssuer = createTicketIssuer(instance, 7);
  [ticket] = ticketIssuer.issue("m1", 1, { nowMillis: 0 }).tickets;
});

Then("the issuing incarnation accepts it until it expires", () => {
  assert.equal(
    ticketIssuer.check(ticket, "m1", { nowMillis: 999 }).kind,
    "own",
  );
  assert.equal(
    ticketIssuer.check(ticket, "m1", { nowMillis: 1000 }).kind,
    "expired",
  );
});

Then(
  "another incarnation of {string} and another instance refer to the issuer",
  (instance: string) => {
    for (
      const other of [
        createTicketIssuer(instance, 8),
        createTicketIssuer("e9", 7),
      ]
    ) {
      const verdict = other.check(ticket, "m1", { nowMillis: 0 });
      assert.deepEqual(verdict, {
        kind: "elsewhere",
        instance,
        incarnation: 7,
      });
    }
  },
);

Then("a forged ticket and a ticket used by another member are invalid", () => {
  const forged = ticket.replace(/\.1\.(\d+)\./, ".2.$1.");
  assert.notEqual(forged, ticket);
  assert.equal(
    ticketIssuer.check(forged, "m1", { nowMillis: 0 }).kind,
    "invalid",
  );
  assert.equal(
    ticketIssuer.check(ticket, "m2", { nowMillis: 0 }).kind,
    "invalid",
  );
  assert.equal(
    ticketIssuer.check("bl1.e1", "m1", { nowMillis: 0 }).kind,
    "invalid",
  );
});

let table: ExecutionTable;
let started: StartResult;
const TIMES = { expiresAtMillis: 1000, nowMillis: 0 };
const ANSWER: KeptAnswer = {
  kind: "answered",
  status: 200,
  headers: [],
  body: new Uint8Array([1, 2]),
};

Given("a started key", () => {
  table = new ExecutionTable({ maxKeys: 10, maxKeptBytes: 100 });
  started = table.start("k", "f", TIMES);
  assert.equal(started.kind, "started");
});

let pendingAnswer: Promise<KeptAnswer>;

Then("a second start with the same request has to wait for the first", () => {
  const second = table.start("k", "f", TIMES);
  assert.equal(second.kind, "known");
  pendingAnswer = (second as StartResult & { kind: "known" }).execution.done;
});

Then("a start with another request is a mismatch", () => {
  assert.equal(table.start("k", "g", TIMES).kind, "mismatch");
});

function complete(kept: KeptAnswer): void {
  (started as StartResult & { kind: "started" }).handle.complete(kept);
}

When("the key is completed with an answer", () => complete(ANSWER));

Then("waiting and later resends get that answer", async () => {
  assert.deepEqual(await pendingAnswer, ANSWER);
  assert.deepEqual(table.get("k")?.finalAnswer, ANSWER);
});

When("the key is completed as not run", () => {
  complete({ kind: "failed", code: 203, detail: "", outcome: "not-run" });
});

Then("the key can be started again", () => {
  assert.equal(table.start("k", "f", TIMES).kind, "started");
});

Then(
  "1000 answers of 1 kB leave at most 100 kB of bodies and a full table refuses new keys",
  () => {
    const bounded = new ExecutionTable({
      maxKeys: 1000,
      maxKeptBytes: 100_000,
    });
    for (let i = 0; i < 1000; i++) {
      const startResult = bounded.start(`k${i}`, "f", TIMES);
      assert.equal(startResult.kind, "started");
      const body = new Uint8Array(1000);
      if (startResult.kind === "started") {
        startResult.handle.complete({ ...ANSWER, body } as KeptAnswer);
      }
    }
    let bytes = 0;
    for (let i = 0; i < 1000; i++) {
      const kept = bounded.get(`k${i}`)?.finalAnswer;
      if (kept?.kind === "answered") bytes += kept.body?.byteLength ?? 0;
    }
    assert.ok(bytes > 0 && bytes <= 100_000, String(bytes));
    assert.equal(bounded.start("one-more", "f", TIMES).kind, "full");
  },
);

function createClaimStore(
  store: MemoryPlatform,
  instance: string,
  clock: FakeClock,
): ClaimStore {
  const writer = new BatchWriter({
    table: store.table,
    windowMillis: 0,
    maxRows: 10,
    maxInFlight: 2,
  });
  // The clock advances at each read, so that a claim that can't succeed times out.
  const advancingClock = {
    nowMillis: () => {
      clock.advance(1);
      return clock.nowMillis();
    },
    wallMillis: () => clock.wallMillis(),
  };
  return new ClaimStore({
    instance,
    incarnation: 1,
    table: store.table,
    writer,
    clock: advancingClock,
    timeoutMillis: 8,
  });
}

/**
 * Claims the same keys from three instances; returns the number of winners of
 * each key and the kinds of results.
 */
async function raceClaims(
  seed: number,
): Promise<{ winners: number[]; kinds: Set<string> }> {
  const random = seededRandom(seed);
  const store = new MemoryPlatform();
  const clock = new FakeClock();
  store.chooseFault = (kind) => {
    const roll = random();
    if (roll < 0.55) return "none";
    if (roll < 0.7 || kind === "read") return "fails";
    return roll < 0.85 ? "answer-lost" : "late";
  };
  const claimStores = ["e1", "e2", "e3"].map((id) =>
    createClaimStore(store, id, clock)
  );
  const kinds = new Set<string>();
  const winners: number[] = [];
  for (const key of ["k1", "k2"]) {
    const rowKey = claimRowKey("m1", key);
    const results: ClaimResult[] = [];
    for (let round = 0; round < 2; round++) {
      results.push(
        ...await Promise.all(
          claimStores.map((claimStore) => claimStore.claim(rowKey, "f")),
        ),
      );
      if (random() < 0.5) store.applyDelayedCall();
    }
    for (const result of results) kinds.add(result.kind);
    winners.push(results.filter((r) => r.kind === "claimed").length);
  }
  return { winners, kinds };
}

Then(
  "random concurrent claims with lost, late and failed store calls have at most one winner for each key",
  { timeout: 60_000 },
  async () => {
    const kinds = new Set<string>();
    let won = 0;
    for (let seed = 1; seed <= 100; seed++) {
      const race = await raceClaims(seed);
      for (const count of race.winners) {
        assert.ok(count <= 1, `seed ${seed}: ${count} winners`);
        won += count;
      }
      for (const kind of race.kinds) kinds.add(kind);
    }
    assert.ok(won > 50);
    assert.deepEqual([...kinds].sort(), ["away", "claimed", "taken"]);
  },
);

let writer: BatchWriter;
let store: MemoryPlatform;
let results: RowResult[] = [];
let transactions = 0;

async function submit(keys: string[]): Promise<void> {
  const before = store.transactions;
  results = await Promise.all(
    keys.map((key) => writer.submit({ key, expectVersion: 0, value: { key } })),
  );
  transactions = store.transactions - before;
}

When("100 claims arrive within one window", async () => {
  store = new MemoryPlatform();
  writer = new BatchWriter({
    table: store.table,
    windowMillis: 5,
    maxRows: 100,
    maxInFlight: 4,
  });
  await submit(Array.from({ length: 100 }, (_, i) => `first-${i}`));
});

Then(
  "they cost {int} transaction",
  (count: number) => assert.equal(transactions, count),
);

When("99 new claims and 1 that is taken arrive within one window", async () => {
  await submit([
    "first-0",
    ...Array.from({ length: 99 }, (_, i) => `second-${i}`),
  ]);
});

Then(
  "they cost {int} transactions and only the taken one conflicts",
  (count: number) => {
    assert.equal(transactions, count);
    assert.deepEqual(
      results.map((r) => r.kind).filter((k) => k === "conflict").length,
      1,
    );
    assert.equal(results[0].kind, "conflict");
  },
);

let log: OutcomeLog;
let clock: FakeClock;

function createOutcomeLog(): OutcomeLog {
  store = new MemoryPlatform();
  clock = new FakeClock();
  const options = {
    table: store.table,
    windowMillis: 1,
    maxRows: 10,
    maxInFlight: 1,
  };
  return new OutcomeLog({
    table: store.table,
    writer: new BatchWriter(options),
    clock,
    maxPending: 100,
  });
}

const ISSUER = { instance: "e1", incarnation: 7 };

Given(
  "an outcome log of {string} with one outcome written",
  async (_instance: string) => {
    log = createOutcomeLog();
    log.enqueue("ran", ANSWER);
    await new Promise((resolve) => setTimeout(resolve, 30));
  },
);

Then(
  "the outcome of a ticket without a stored outcome is unknown",
  async () => {
    assert.equal((await log.read("other", ISSUER)).kind, "unknown");
  },
);

When("{string} closes cleanly", async (_instance: string) => {
  assert.ok(await log.close(ISSUER, { waitMillis: 1000 }));
});

Then(
  "the ticket with a stored outcome is answered and the other was never run",
  async () => {
    assert.equal((await log.read("ran", ISSUER)).kind, "answered");
    assert.equal((await log.read("other", ISSUER)).kind, "never-run");
    assert.equal(
      (await log.read("other", { ...ISSUER, incarnation: 8 })).kind,
      "unknown",
    );
  },
);

Then("an outcome log that lost an outcome does not close", async () => {
  const lossy = createOutcomeLog();
  store.chooseFault = (kind) => kind === "write" ? "fails" : "none";
  lossy.enqueue("lost", ANSWER);
  await new Promise((resolve) => setTimeout(resolve, 30));
  store.chooseFault = () => "none";
  assert.equal(await lossy.close(ISSUER, { waitMillis: 100 }), false);
  assert.equal((await lossy.read("lost", ISSUER)).kind, "unknown");
});
