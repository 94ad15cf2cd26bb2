/**
 * Steps that bring about failures and check what holds under them.
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { findOwner } from "@bamboolane/locate/rank_entries";
import type { SteeringError } from "@bamboolane/errors/steering_error";
import type { PublishResult } from "@bamboolane/entry/publish_and_wait";
import { InstanceState } from "@bamboolane/types/instance";
import { MoveState } from "@bamboolane/types/fleet";
import { request } from "undici";
import { scenario } from "./support/scenario.ts";
import { fetchTicket, type Reply, send } from "./support/send_request.ts";
import { until } from "./support/test_system.ts";

const slow = { timeout: 60_000 };
let batch: Reply[] = [];
let published: PublishResult;

function split(list: string): string[] {
  return list.split(",").map((item) => item.trim());
}

function callers(id: string): string {
  return scenario.system.entry(id).settings.listen.callers;
}

function actions(id: string) {
  return scenario.system.entry(id).running.actions;
}

Given("the store is away", () => {
  scenario.system.platform.faults.outage = true;
});

When("the store is back", () => {
  scenario.system.platform.faults.outage = false;
});

Given("the store loses the next answer", () => {
  scenario.system.platform.faults.loseAnswers = 1;
});

When("{string} is killed", async (id: string) => {
  scenario.system.kill(id);
  await until(() =>
    [...scenario.system.entries.values()].filter((e) =>
      e.settings.instance.dataCentre === "a1"
    )
      .every((e) =>
        e.running.membership.table.get(id)?.state === InstanceState.dead
      )
  );
});

When(
  "{string} is stopped gracefully",
  slow,
  (id: string) => scenario.system.stopEntry(id),
);

Given(/^all targets (drain|serve again)$/, async (what: string) => {
  const draining = what === "drain";
  for (const target of scenario.system.targets.values()) {
    target.behaviour.draining = draining;
  }
  if (draining) return;
  await until(() =>
    [...scenario.system.entries.values()].every(({ running }) =>
      [...running.pools.pools().values()].every((p) => p.status().slots > 0)
    )
  );
});

Given("target {string} cuts its answers", (id: string) => {
  scenario.system.target(id).behaviour.cutAnswers = true;
});

async function sendBatch(
  count: number,
  options: { ids: string[]; client?: (i: number) => string; path?: string },
): Promise<void> {
  const client = options.client ?? (() => "10.1.0.1");
  const path = options.path ?? "/read";
  batch = await Promise.all(
    Array.from(
      { length: count },
      (_, i) =>
        send(callers(options.ids[i % options.ids.length]), `${path}/${i}`, {
          client: client(i),
        }),
    ),
  );
}

When(
  "{int} requests are sent to {string}",
  slow,
  (count: number, id: string) => sendBatch(count, { ids: [id] }),
);

Then("all are answered whole", () => {
  const bad = batch.filter((r) => r.code !== 0);
  assert.deepEqual(bad.map((r) => r.text), []);
  for (const reply of batch) JSON.parse(reply.text);
});

let marks: string[] = [];

When(
  "{int} charges are sent to {string}",
  slow,
  async (count: number, id: string) => {
    marks = Array.from({ length: count }, (_, i) => `charge-${i}`);
    batch = await Promise.all(marks.map(async (mark) => {
      const key = await fetchTicket(callers(id));
      return send(callers(id), "/charge", { method: "POST", body: mark, key });
    }));
  },
);

Then(
  "each is answered whole or refused as {string}, and ran at most once",
  (result: string) => {
    for (const reply of batch) {
      assert.ok(reply.code === 0 || reply.result === result, reply.text);
    }
    assert.ok(batch.some((r) => r.result === result));
    for (const mark of marks) assert.ok(scenario.system.runs(mark) <= 1);
  },
);

let ranBefore = 0;

async function untilDrained(target: string): Promise<void> {
  await until(() =>
    [...scenario.system.entries.values()].every(({ running }) =>
      [...running.pools.pools().values()].every((pool) =>
        pool.status().targets.every((t) => t.id !== target || t.draining)
      )
    )
  );
  ranBefore = scenario.system.target(target).ran.length;
}

When("target {string} drains by its own signal", slow, async (id: string) => {
  scenario.system.target(id).behaviour.draining = true;
  await untilDrained(id);
});

When(
  "the platform's list calls target {string} leaving",
  slow,
  async (id: string) => {
    scenario.system.platform.store.instances.push({
      id,
      kind: "target",
      dataCentre: "a1",
      peerAddress: "",
      leaving: true,
    });
    await untilDrained(id);
  },
);

When("an operator drains target {string}", slow, async (id: string) => {
  published = await actions("e1").edit({
    edit: {
      kind: "drain-add",
      drain: {
        kind: "target",
        id,
        owner: "ops",
        reason: "planned maintenance",
      },
    },
  }, "ops");
  const reachable = [...scenario.system.entries.keys()].filter((e) =>
    !frozen.includes(e)
  );
  if (reachable.length === scenario.system.entries.size) await untilDrained(id);
});

Then("target {string} runs nothing more", (id: string) => {
  assert.equal(scenario.system.target(id).ran.length, ranBefore);
});

Given("all targets crash on path {string}", (path: string) => {
  for (const target of scenario.system.targets.values()) {
    target.behaviour.crashOn = path;
  }
});

When(
  "a request {string} is sent to {string}",
  slow,
  async (path: string, id: string) => {
    batch = [await send(callers(id), `/read/${path}`)];
  },
);

Then("it is not answered", () => assert.notEqual(batch[0].code, 0));

async function isGone(address: string): Promise<boolean> {
  return await request(`http://${address}/health`).then(
    () => false,
    () => true,
  );
}

Then("exactly {int} targets have crashed", async (count: number) => {
  const gone = await Promise.all(
    [...scenario.system.targets.values()].map((t) => isGone(t.address)),
  );
  assert.equal(gone.filter(Boolean).length, count);
});

Then(
  "{string} is refused as {string} at {string}",
  slow,
  async (path: string, result: string, ids: string) => {
    for (const id of split(ids)) {
      await until(async () =>
        (await send(callers(id), `/read/${path}`)).result === result
      );
    }
  },
);

Then("requests of others are answered at {string}", async (ids: string) => {
  await sendBatch(4, {
    ids: split(ids),
    client: () => "10.3.0.1",
    path: "/read/fine",
  });
  assert.deepEqual(batch.map((r) => r.code), [0, 0, 0, 0]);
});

When("targets {string} are gone", async (ids: string) => {
  for (const id of split(ids)) await scenario.system.target(id).close();
});

function ownerOf(dataCentre: string, at: string): string | undefined {
  const { table } = scenario.system.entry(at).running.membership;
  return findOwner("s1", dataCentre, table.live())?.id;
}

let killed = "";

When(
  "{int} requests are sent to {string} for client {string} while the owner of the pool in a1 is killed",
  slow,
  async (count: number, id: string, client: string) => {
    killed = ownerOf("a1", id) ?? "";
    const sent: Promise<Reply>[] = [];
    for (let i = 0; i < count; i++) {
      sent.push(send(callers(id), `/read/${i}`, { client }));
      if (i === Math.floor(count / 2)) scenario.system.kill(killed);
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    batch = await Promise.all(sent);
  },
);

Then("the other instance owns the pool", () =>
  until(() => {
    const owner = ownerOf("a1", "e3");
    return owner !== undefined && owner !== killed;
  }));

async function lookUp(id: string): Promise<{ id: string; address: string }[]> {
  const url = `http://${
    callers(id)
  }/v1/lookup?member=m1&service=s1&client=10.1.0.1`;
  const answer = await (await request(url)).body.json() as {
    entries: { id: string; address: string }[];
  };
  return answer.entries;
}

When(
  "{int} requests are sent along the look-ups while {string} is stopped gracefully",
  slow,
  async (count: number, id: string) => {
    const stopped = scenario.system.stopEntry(id);
    const sent: Promise<Reply>[] = [];
    for (let i = 0; i < count; i++) {
      const [best] = await lookUp("e3");
      sent.push(send(best.address, `/read/${i}`));
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    batch = await Promise.all(sent);
    await stopped;
  },
);

Then("look-ups no longer name {string}", async (id: string) => {
  assert.ok(!(await lookUp("e3")).some((e) => e.id === id));
});

Then(
  "{string} becomes cut off",
  slow,
  (id: string) =>
    until(() => scenario.system.entry(id).running.config.isCutOff()),
);

Then(
  "{string} is no longer cut off",
  slow,
  (id: string) =>
    until(() => !scenario.system.entry(id).running.config.isCutOff()),
);

Then(
  "a request for client {string} at {string} is answered by data centre {string}",
  async (client: string, id: string, dataCentre: string) => {
    const reply = await send(callers(id), "/read/cut-off", { client });
    assert.equal(reply.code, 0, reply.text);
    assert.match(
      String(reply.headers["bamboolane-target"]),
      new RegExp(`^${dataCentre}-`),
    );
  },
);

Then(
  "an operator's change at {string} is refused as {string}",
  slow,
  async (id: string, result: string) => {
    const edit = { kind: "drain-remove" as const, id: "a1-t1" };
    const error = await actions(id).edit({ edit }, "ops").catch((e) =>
      e as SteeringError
    );
    assert.equal((error as SteeringError).info?.name, result);
  },
);

When("entry {string} starts in a2", slow, async (id: string) => {
  const seed = scenario.system.entry("e4").settings.listen.peers;
  await scenario.system.addEntry(id, "a2", [seed]);
});

Then(
  "{string} takes revision 1 from a peer and answers requests",
  slow,
  async (id: string) => {
    const { running, settings } = scenario.system.entry(id);
    await until(() => running.config.revision === 1);
    await until(async () =>
      (await send(settings.listen.callers, "/read/new")).code === 0
    );
  },
);

When("entry {string} starts in b1 without peers", slow, async (id: string) => {
  await scenario.system.addEntry(id, "b1");
});

Then("it refuses requests as {string}", async (result: string) => {
  const reply = await send(callers("alone"), "/read/alone");
  assert.equal(reply.result, result);
});

const frozen: string[] = [];

Given("{string} is frozen off from its peers and the store", (id: string) => {
  frozen.push(id);
  const { running } = scenario.system.entry(id);
  running.membership.stop();
  running.membership.mesh.accept = (stream) => stream.end();
  running.config.stop();
});

Then(
  "the publication names {string} as cut off and the others as in force",
  (id: string) => {
    frozen.length = 0;
    const cutOff = published.instances.filter((i) => i.status === "cut-off");
    assert.deepEqual(cutOff.map((i) => i.instance), [id]);
    assert.equal(published.instances.length, 4);
  },
);

Then("{string} is cut off by then", (id: string) => {
  assert.ok(scenario.system.entry(id).running.config.isCutOff());
});

Given("data centre caps of {int}", slow, async (cap: number) => {
  const regions = scenario.system.fleet.regions.map((region) => ({
    ...region,
    dataCentres: region.dataCentres.map((d) => ({ ...d, capInFlight: cap })),
  }));
  for (const target of scenario.system.targets.values()) {
    target.behaviour.serviceMillis = [{ prefix: "/", millis: 40 }];
  }
  await scenario.system.publish({ regions });
});

When(
  "{int} slow requests are sent to {string} at once",
  slow,
  (count: number, ids: string) => sendBatch(count, { ids: split(ids) }),
);

Then("no target pool ran more than its cap", () => {
  const { targets } = scenario.system;
  const peakOf = (dataCentre: string) =>
    [...targets].filter(([id]) => id.startsWith(dataCentre))
      .reduce((sum, [, target]) => sum + target.peak, 0);
  assert.ok(batch.some((r) => r.code === 0));
  assert.ok(targets.get("a2-t1")!.peak <= 3);
  for (const dataCentre of ["a1", "a2", "b1"]) {
    // Peaks of single targets need not coincide, so their sum bounds from above.
    const bound = dataCentre === "a1" ? 6 : 4;
    assert.ok(peakOf(dataCentre) <= bound);
  }
  for (const { running } of scenario.system.entries.values()) {
    const count = running.context.invariants.counts()["region-cap"];
    assert.equal(count.breaches, 0);
  }
});

function moveOf(capShare: number, steps: number[]) {
  return {
    id: "mv",
    service: "s1",
    from: "a1",
    to: "b1",
    capShare,
    steps,
    step: -1,
    state: MoveState.planned,
    owner: "ops",
    reason: "a planned evacuation of a1",
  };
}

async function act(action: "advance" | "abort"): Promise<void> {
  await actions("e1").edit({ edit: { kind: "move", id: "mv", action } }, "ops");
}

Given(
  "a running move of {string} from a1 to b1 with cap {float} at step {float}",
  slow,
  async (_service: string, cap: number, share: number) => {
    const clientBlocks = Array.from({ length: 200 }, (_, i) => ({
      cidr: `10.1.${i}.0/24`,
      site: "a1",
    }));
    await scenario.system.publish({ clientBlocks });
    await actions("e1").edit({
      edit: { kind: "move-plan", move: moveOf(cap, [share]) },
    }, "ops");
    await act("advance");
  },
);

Given(
  "a planned move of {string} from a1 to b1 with cap {float} and steps {float}, {float}",
  slow,
  async (_service: string, cap: number, first: number, second: number) => {
    const move = moveOf(cap, [first, second]);
    await actions("e1").edit({ edit: { kind: "move-plan", move } }, "ops");
  },
);

When(
  "{int} requests from {int} blocks of a1 are sent to {string}",
  slow,
  async (count: number, _blocks: number, ids: string) => {
    ranBefore = scenario.system.target("b1-t1").ran.length;
    await sendBatch(count, { ids: split(ids), client: (i) => `10.1.${i}.9` });
  },
);

function ranInWest(): number {
  return scenario.system.target("b1-t1").ran.length - ranBefore;
}

Then(
  "between {int} and {int} of them ran in b1",
  (low: number, high: number) => {
    assert.deepEqual(batch.filter((r) => r.code !== 0).map((r) => r.text), []);
    assert.ok(ranInWest() >= low && ranInWest() <= high, String(ranInWest()));
  },
);

When("the move is aborted", slow, () => act("abort"));

Then("none of them ran in b1", () => assert.equal(ranInWest(), 0));

When("an operator advances the move", slow, () => act("advance"));

Then(
  "the duty's holder takes it to step 2 of 2",
  slow,
  () =>
    until(() =>
      [...scenario.system.entries.values()].some(({ running }) =>
        running.config.body?.fleet.moves[0]?.step === 1
      )
    ),
);

When(
  "a slow request for client {string} runs at {string} while {string} is stopped gracefully",
  slow,
  async (client: string, id: string, _same: string) => {
    const sent = send(callers(id), "/read/slow", { client });
    await until(() => scenario.system.runs("/read/slow") > 0);
    const stopped = scenario.system.stopEntry(id);
    batch = [await sent];
    await stopped;
  },
);

When("an older revision reaches {string} late", async (id: string) => {
  const { config } = scenario.system.entry(id).running;
  const { fleet } = scenario.system;
  // As a message that was on its way while the newer revision was applied.
  await config.deliver({
    revision: 1,
    changeId: "late",
    operator: "ops",
    summary: "an older revision",
    previousHash: "",
    fleet,
    blockChunks: [],
  });
});

Then("{string} still holds revision {int}", (id: string, revision: number) => {
  assert.equal(scenario.system.entry(id).running.config.revision, revision);
});

Then("it is refused in doubt", () => {
  assert.notEqual(batch[0].code, 0);
  assert.equal(batch[0].outcome, "unknown", batch[0].text);
});
