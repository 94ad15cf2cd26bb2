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

let book: TicketIssuer;
let ticket = "";

function bookOf(instance: string, incarnation: number): TicketIssuer {
  return new TicketIssuer({ instance, incarnation, lifetimeMillis: 1000 });
}

Given("a ticket of instance {string}", (instance: string) => {
  book = bookOf(instance, 7);
  [ticket] = book.issue("m1", 1, { nowMillis: 0 }).tickets;
});

Then("its incarnation takes it as its own until it expires", () => {
  assert.equal(book.check(ticket, "m1", { nowMillis: 999 }).kind, "own");
  assert.equal(book.check(ticket, "m1", { nowMillis: 1000 }).kind, "expired");
});

Then(
  "another incarnation of {string} and another instance refer to the issuer",
  (instance: string) => {
    for (const other of [bookOf(instance, 8), bookOf("e9", 7)]) {
      const verdict = other.check(ticket, "m1", { nowMillis: 0 });
      assert.deepEqual(verdict, {
        kind: "elsewhere",
        instance,
        incarnation: 7,
      });
    }
  },
);

Then("a forged ticket and another member's use of it are invalid", () => {
  const forged = ticket.replace(/\.1\.(\d+)\./, ".2.$1.");
  assert.notEqual(forged, ticket);
  assert.equal(book.check(forged, "m1", { nowMillis: 0 }).kind, "invalid");
  assert.equal(book.check(ticket, "m2", { nowMillis: 0 }).kind, "invalid");
  assert.equal(book.check("bl1.e1", "m1", { nowMillis: 0 }).kind, "invalid");
});

let table: ExecutionTable;
let started: StartResult;
const times = { expiresAtMillis: 1000, nowMillis: 0 };
const answer: KeptAnswer = {
  kind: "answered",
  status: 200,
  headers: [],
  body: new Uint8Array([1, 2]),
};

Given("a started key", () => {
  table = new ExecutionTable({ maxKeys: 10, maxKeptBytes: 100 });
  started = table.start("k", "f", times);
  assert.equal(started.kind, "started");
});

let waiting: Promise<KeptAnswer>;

Then("a second start with the same request is told to wait", () => {
  const second = table.start("k", "f", times);
  assert.equal(second.kind, "known");
  waiting = (second as StartResult & { kind: "known" }).execution.done;
});

Then("a start with another request is a mismatch", () => {
  assert.equal(table.start("k", "g", times).kind, "mismatch");
});

function settle(kept: KeptAnswer): void {
  (started as StartResult & { kind: "started" }).handle.complete(kept);
}

When("the key is settled with an answer", () => settle(answer));

Then("those who waited and later ones get that answer", async () => {
  assert.deepEqual(await waiting, answer);
  assert.deepEqual(table.get("k")?.finalAnswer, answer);
});

When("the key is settled as not run", () => {
  settle({ kind: "failed", code: 203, detail: "", outcome: "not-run" });
});

Then("the key can be started again", () => {
  assert.equal(table.start("k", "f", times).kind, "started");
});

Then(
  "1000 answers of 1 kB leave at most 100 kB of bodies and a full table refuses new keys",
  () => {
    const bounded = new ExecutionTable({
      maxKeys: 1000,
      maxKeptBytes: 100_000,
    });
    for (let i = 0; i < 1000; i++) {
      const begun = bounded.start(`k${i}`, "f", times);
      assert.equal(begun.kind, "started");
      const body = new Uint8Array(1000);
      if (begun.kind === "started") {
        begun.handle.complete({ ...answer, body } as KeptAnswer);
      }
    }
    let bytes = 0;
    for (let i = 0; i < 1000; i++) {
      const kept = bounded.get(`k${i}`)?.finalAnswer;
      if (kept?.kind === "answered") bytes += kept.body?.byteLength ?? 0;
    }
    assert.ok(bytes > 0 && bytes <= 100_000, String(bytes));
    assert.equal(bounded.start("one-more", "f", times).kind, "full");
  },
);

function claimBook(
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
  // The clock moves with each attempt, so that a claim that can't win gives up.
  const moving = {
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
    clock: moving,
    timeoutMillis: 8,
  });
}

/** Claims the same keys from three instances; returns winners by key. */
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
  const books = ["e1", "e2", "e3"].map((id) => claimBook(store, id, clock));
  const kinds = new Set<string>();
  const winners: number[] = [];
  for (const key of ["k1", "k2"]) {
    const rowKey = claimRowKey("m1", key);
    const results: ClaimResult[] = [];
    for (let round = 0; round < 2; round++) {
      results.push(
        ...await Promise.all(books.map((b) => b.claim(rowKey, "f"))),
      );
      if (random() < 0.5) store.applyDelayedWrite();
    }
    for (const result of results) kinds.add(result.kind);
    winners.push(results.filter((r) => r.kind === "claimed").length);
  }
  return { winners, kinds };
}

Then(
  "random interleavings of claims with lost, late and failed calls have at most one winner each",
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

function outcomeLog(): OutcomeLog {
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

const issuer = { instance: "e1", incarnation: 7 };

Given(
  "an outcome log of {string} with one outcome written",
  async (_instance: string) => {
    log = outcomeLog();
    log.enqueue("ran", answer);
    await new Promise((resolve) => setTimeout(resolve, 30));
  },
);

Then("a ticket without an outcome is in doubt", async () => {
  assert.equal((await log.read("other", issuer)).kind, "unknown");
});

When("{string} closes in good order", async (_instance: string) => {
  assert.ok(await log.close(issuer, { waitMillis: 1000 }));
});

Then("the written ticket is answered and the other was never run", async () => {
  assert.equal((await log.read("ran", issuer)).kind, "answered");
  assert.equal((await log.read("other", issuer)).kind, "never-run");
  assert.equal(
    (await log.read("other", { ...issuer, incarnation: 8 })).kind,
    "unknown",
  );
});

Then("a log that lost an outcome does not close", async () => {
  const lossy = outcomeLog();
  store.chooseFault = (kind) => kind === "write" ? "fails" : "none";
  lossy.enqueue("lost", answer);
  await new Promise((resolve) => setTimeout(resolve, 30));
  store.chooseFault = () => "none";
  assert.equal(await lossy.close(issuer, { waitMillis: 100 }), false);
  assert.equal((await lossy.read("lost", issuer)).kind, "unknown");
});
