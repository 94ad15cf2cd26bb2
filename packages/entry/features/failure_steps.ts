/**
 * Steps that provoke failures and check the system's behaviour.
 */
import assert from "node:assert/strict";
import { connect } from "node:net";
import { Given, Then, When } from "@cucumber/cucumber";
import { findOwner } from "@bamboolane/locate/rank_entries";
import type { SteeringError } from "@bamboolane/errors/steering_error";
import type { PublishResult } from "@bamboolane/entry/publish_and_wait";
import { InstanceState } from "@bamboolane/types/instance";
import { MoveState } from "@bamboolane/types/fleet";
import { request } from "undici";
import { scenario } from "./support/scenario.ts";
import { fetchTicket, type Reply, send } from "./support/send_request.ts";
import { waitUntil } from "./support/test_system.ts";

const SLOW_STEP = { timeout: 60_000 };
let batch: Reply[] = [];
let published: PublishResult;

function splitList(list: string): string[] {
  return list.split(",").map((item) => item.trim());
}

function callerAddress(id: string): string {
  return scenario.system.entry(id).settings.listen.callers;
}

function actions(id: string) {
  return scenario.system.entry(id).running.actions;
}

Given("the store is unavailable", () => {
  scenario.system.platform.faults.outage = true;
});

When("the store is available again", () => {
  scenario.system.platform.faults.outage = false;
});

Given("the answer to the next store transaction is lost", () => {
  scenario.system.platform.faults.loseAnswers = 1;
});

When("{string} is killed", async (id: string) => {
  scenario.system.kill(id);
  await waitUntil(() =>
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
  SLOW_STEP,
  (id: string) => scenario.system.stopEntry(id),
);

Given(/^all targets (drain|serve again)$/, async (action: string) => {
  const draining = action === "drain";
  for (const target of scenario.system.targets.values()) {
    target.behaviour.draining = draining;
  }
  if (draining) return;
  await waitUntil(() =>
    [...scenario.system.entries.values()].every(({ running }) =>
      [...running.pools.pools().values()].every((p) => p.status().slots > 0)
    )
  );
});

Given("all targets name no attempts", () => {
  for (const target of scenario.system.targets.values()) {
    target.behaviour.hidesAttempts = true;
  }
});

Given("target {string} cuts its answers short", (id: string) => {
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
        send(
          callerAddress(options.ids[i % options.ids.length]),
          `${path}/${i}`,
          {
            client: client(i),
          },
        ),
    ),
  );
}

When(
  "{int} requests are sent to {string}",
  SLOW_STEP,
  (count: number, id: string) => sendBatch(count, { ids: [id] }),
);

Then("all are answered completely", () => {
  const failed = batch.filter((r) => r.code !== 0);
  assert.deepEqual(failed.map((r) => r.text), []);
  for (const reply of batch) JSON.parse(reply.text);
});

let marks: string[] = [];

When(
  "{int} charges are sent to {string}",
  SLOW_STEP,
  async (count: number, id: string) => {
    marks = Array.from({ length: count }, (_, i) => `charge-${i}`);
    batch = await Promise.all(marks.map(async (mark) => {
      const key = await fetchTicket(callerAddress(id));
      return send(callerAddress(id), "/charge", {
        method: "POST",
        body: mark,
        key,
      });
    }));
  },
);

Then(
  "each is answered completely or refused as {string}, and ran at most once",
  (result: string) => {
    for (const reply of batch) {
      assert.ok(reply.code === 0 || reply.result === result, reply.text);
    }
    assert.ok(batch.some((r) => r.result === result));
    for (const mark of marks) assert.ok(scenario.system.runCount(mark) <= 1);
  },
);

/** Number of requests that the observed target had run at the last count. */
let ranBefore = 0;

/** Waits until all pools see the target as draining, then counts its runs. */
async function awaitDrained(target: string): Promise<void> {
  await waitUntil(() =>
    [...scenario.system.entries.values()].every(({ running }) =>
      [...running.pools.pools().values()].every((pool) =>
        pool.status().targets.every((t) => t.id !== target || t.draining)
      )
    )
  );
  ranBefore = scenario.system.target(target).ran.length;
}

When(
  "target {string} signals that it is draining",
  SLOW_STEP,
  async (id: string) => {
    scenario.system.target(id).behaviour.draining = true;
    await awaitDrained(id);
  },
);

When(
  "the platform's instance list marks target {string} as leaving",
  SLOW_STEP,
  async (id: string) => {
    scenario.system.platform.store.instances.push({
      id,
      kind: "target",
      dataCentre: "a1",
      peerAddress: "",
      leaving: true,
    });
    await awaitDrained(id);
  },
);

When("an operator drains target {string}", SLOW_STEP, async (id: string) => {
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
    !isolated.includes(e)
  );
  if (reachable.length === scenario.system.entries.size) await awaitDrained(id);
});

Then("target {string} runs no further requests", (id: string) => {
  assert.equal(scenario.system.target(id).ran.length, ranBefore);
});

Given("all targets crash on path {string}", (path: string) => {
  for (const target of scenario.system.targets.values()) {
    target.behaviour.crashOn = path;
  }
});

When(
  "a request {string} is sent to {string}",
  SLOW_STEP,
  async (path: string, id: string) => {
    batch = [await send(callerAddress(id), `/read/${path}`)];
  },
);

Then("it is not answered", () => assert.notEqual(batch[0].code, 0));

async function isUnreachable(address: string): Promise<boolean> {
  return await request(`http://${address}/health`).then(
    () => false,
    () => true,
  );
}

Then("exactly {int} targets have crashed", async (count: number) => {
  const unreachable = await Promise.all(
    [...scenario.system.targets.values()].map((t) => isUnreachable(t.address)),
  );
  assert.equal(unreachable.filter(Boolean).length, count);
});

Then(
  "{string} is refused as {string} at {string}",
  SLOW_STEP,
  async (path: string, result: string, ids: string) => {
    for (const id of splitList(ids)) {
      await waitUntil(async () =>
        (await send(callerAddress(id), `/read/${path}`)).result === result
      );
    }
  },
);

Then("other requests are answered at {string}", async (ids: string) => {
  await sendBatch(4, {
    ids: splitList(ids),
    client: () => "10.3.0.1",
    path: "/read/fine",
  });
  assert.deepEqual(batch.map((r) => r.code), [0, 0, 0, 0]);
});

When("targets {string} are shut down", async (ids: string) => {
  for (const id of splitList(ids)) await scenario.system.target(id).close();
});

function ownerOf(dataCentre: string, at: string): string | undefined {
  const { table } = scenario.system.entry(at).running.membership;
  return findOwner("s1", dataCentre, table.live())?.id;
}

let killedOwner = "";

When(
  "{int} requests are sent to {string} for client {string} while the owner of the pool in a1 is killed",
  SLOW_STEP,
  async (count: number, id: string, client: string) => {
    killedOwner = ownerOf("a1", id) ?? "";
    const sent: Promise<Reply>[] = [];
    for (let i = 0; i < count; i++) {
      sent.push(send(callerAddress(id), `/read/${i}`, { client }));
      if (i === Math.floor(count / 2)) scenario.system.kill(killedOwner);
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    batch = await Promise.all(sent);
  },
);

Then("the other instance owns the pool", () =>
  waitUntil(() => {
    const owner = ownerOf("a1", "e3");
    return owner !== undefined && owner !== killedOwner;
  }));

async function lookUp(id: string): Promise<{ id: string; address: string }[]> {
  const url = `http://${
    callerAddress(id)
  }/v1/lookup?member=m1&service=s1&client=10.1.0.1`;
  const answer = await (await request(url)).body.json() as {
    entries: { id: string; address: string }[];
  };
  return answer.entries;
}

When(
  "{int} requests are sent to the entries that look-ups name while {string} is stopped gracefully",
  SLOW_STEP,
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
  SLOW_STEP,
  (id: string) =>
    waitUntil(() => scenario.system.entry(id).running.config.isCutOff()),
);

Then(
  "{string} is no longer cut off",
  SLOW_STEP,
  (id: string) =>
    waitUntil(() => !scenario.system.entry(id).running.config.isCutOff()),
);

Then(
  "a request for client {string} at {string} is answered by data centre {string}",
  async (client: string, id: string, dataCentre: string) => {
    const reply = await send(callerAddress(id), "/read/cut-off", { client });
    assert.equal(reply.code, 0, reply.text);
    assert.match(
      String(reply.headers["bamboolane-target"]),
      new RegExp(`^${dataCentre}-`),
    );
  },
);

Then(
  "an operator's change at {string} is refused as {string}",
  SLOW_STEP,
  async (id: string, result: string) => {
    const edit = { kind: "drain-remove" as const, id: "a1-t1" };
    const error = await actions(id).edit({ edit }, "ops").catch((e) =>
      e as SteeringError
    );
    assert.equal((error as SteeringError).info?.name, result);
  },
);

When("entry {string} starts in a2", SLOW_STEP, async (id: string) => {
  const seed = scenario.system.entry("e4").settings.listen.peers;
  await scenario.system.addEntry(id, "a2", [seed]);
});

Then(
  "{string} fetches revision 1 from a peer and answers requests",
  SLOW_STEP,
  async (id: string) => {
    const { running, settings } = scenario.system.entry(id);
    await waitUntil(() => running.config.revision === 1);
    await waitUntil(async () =>
      (await send(settings.listen.callers, "/read/new")).code === 0
    );
  },
);

When(
  "entry {string} starts in b1 without peers",
  SLOW_STEP,
  async (id: string) => {
    await scenario.system.addEntry(id, "b1");
  },
);

Then("it refuses requests as {string}", async (result: string) => {
  const reply = await send(callerAddress("alone"), "/read/alone");
  assert.equal(reply.result, result);
});

/** Entries isolated in the scenario, which can't confirm a publication. */
const isolated: string[] = [];

Given("{string} is isolated from its peers and the store", (id: string) => {
  isolated.push(id);
  const { running } = scenario.system.entry(id);
  running.membership.stop();
  running.membership.mesh.accept = (stream) => stream.end();
  running.config.stop();
});

Then(
  "the publication reports {string} as cut off and the others as in force",
  (id: string) => {
    isolated.length = 0;
    const cutOff = published.instances.filter((i) => i.status === "cut-off");
    assert.deepEqual(cutOff.map((i) => i.instance), [id]);
    assert.equal(published.instances.length, 4);
  },
);

Then(
  "{string} is cut off by the time the publication returns",
  (id: string) => {
    assert.ok(scenario.system.entry(id).running.config.isCutOff());
  },
);

Given(
  "data centre caps of {int} requests in flight",
  SLOW_STEP,
  async (cap: number) => {
    const regions = scenario.system.fleet.regions.map((region) => ({
      ...region,
      dataCentres: region.dataCentres.map((d) => ({ ...d, capInFlight: cap })),
    }));
    for (const target of scenario.system.targets.values()) {
      target.behaviour.serviceMillis = [{ prefix: "/", millis: 40 }];
    }
    await scenario.system.publish({ regions });
  },
);

When(
  "{int} slow requests are sent to {string} at once",
  SLOW_STEP,
  (count: number, ids: string) => sendBatch(count, { ids: splitList(ids) }),
);

Then("no pool ran more requests at once than its cap allows", () => {
  const { targets } = scenario.system;
  const peakOf = (dataCentre: string) =>
    [...targets].filter(([id]) => id.startsWith(dataCentre))
      .reduce((sum, [, target]) => sum + target.peak, 0);
  assert.ok(batch.some((r) => r.code === 0));
  assert.ok(targets.get("a2-t1")!.peak <= 3);
  for (const dataCentre of ["a1", "a2", "b1"]) {
    // The targets' peaks need not coincide, so their sum is an upper bound.
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

async function changeMove(action: "advance" | "abort"): Promise<void> {
  await actions("e1").edit({ edit: { kind: "move", id: "mv", action } }, "ops");
}

Given(
  "a running move of {string} from a1 to b1 with cap {float} at step {float}",
  SLOW_STEP,
  async (_service: string, cap: number, share: number) => {
    const clientBlocks = Array.from({ length: 200 }, (_, i) => ({
      cidr: `10.1.${i}.0/24`,
      site: "a1",
    }));
    await scenario.system.publish({ clientBlocks });
    await actions("e1").edit({
      edit: { kind: "move-plan", move: moveOf(cap, [share]) },
    }, "ops");
    await changeMove("advance");
  },
);

Given(
  "a planned move of {string} from a1 to b1 with cap {float} and steps {float}, {float}",
  SLOW_STEP,
  async (_service: string, cap: number, first: number, second: number) => {
    const move = moveOf(cap, [first, second]);
    await actions("e1").edit({ edit: { kind: "move-plan", move } }, "ops");
  },
);

When(
  "{int} requests from {int} client blocks of a1 are sent to {string}",
  SLOW_STEP,
  async (count: number, _blocks: number, ids: string) => {
    ranBefore = scenario.system.target("b1-t1").ran.length;
    await sendBatch(count, {
      ids: splitList(ids),
      client: (i) => `10.1.${i}.9`,
    });
  },
);

function runsInB1(): number {
  return scenario.system.target("b1-t1").ran.length - ranBefore;
}

Then(
  "between {int} and {int} of them ran in b1",
  (low: number, high: number) => {
    assert.deepEqual(batch.filter((r) => r.code !== 0).map((r) => r.text), []);
    assert.ok(runsInB1() >= low && runsInB1() <= high, String(runsInB1()));
  },
);

When("the move is aborted", SLOW_STEP, () => changeMove("abort"));

Then("none of them ran in b1", () => assert.equal(runsInB1(), 0));

When("an operator advances the move", SLOW_STEP, () => changeMove("advance"));

Then(
  "the instance that holds the moves duty advances it to step 2 of 2",
  SLOW_STEP,
  () =>
    waitUntil(() =>
      [...scenario.system.entries.values()].some(({ running }) =>
        running.config.body?.fleet.moves[0]?.step === 1
      )
    ),
);

When(
  "a slow request for client {string} runs at {string} while {string} is stopped gracefully",
  SLOW_STEP,
  async (client: string, id: string, _same: string) => {
    const sent = send(callerAddress(id), "/read/slow", { client });
    await waitUntil(() => scenario.system.runCount("/read/slow") > 0);
    const stopped = scenario.system.stopEntry(id);
    batch = [await sent];
    await stopped;
  },
);

When("an older revision arrives late at {string}", async (id: string) => {
  const { config } = scenario.system.entry(id).running;
  const { fleet } = scenario.system;
  // Simulates a message that was in transit while the newer revision was
  // applied.
  await config.applyReceived({
    revision: 1,
    changeId: "late",
    operator: "ops",
    summary: "an older revision",
    previousHash: "",
    fleet,
    blockChunks: [],
  });
});

Then(
  "{string} still has revision {int} in force",
  (id: string, revision: number) => {
    assert.equal(scenario.system.entry(id).running.config.revision, revision);
  },
);

Then("it is refused with an unknown outcome", () => {
  assert.notEqual(batch[0].code, 0);
  assert.equal(batch[0].outcome, "unknown", batch[0].text);
});

let rawAnswers = "";

/** Sends bytes on a connection of their own; resolves with all answers once it is closed. */
function exchangeBytes(address: string, parts: string[]): Promise<string> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    let answers = "";
    const socket = connect(Number(port), host, async () => {
      for (const part of parts) {
        socket.write(part);
        await new Promise((sent) => setTimeout(sent, 100));
      }
      socket.end();
    });
    socket.on("data", (chunk) => answers += chunk.toString("latin1"));
    socket.on("error", () => {});
    socket.once("close", () => resolve(answers));
  });
}

When(
  /^a charge is sent to "(.+)" whose connection carries (malformed bytes behind the request|a malformed chunk in a long body)$/,
  async (id: string, bytes: string) => {
    for (const target of scenario.system.targets.values()) {
      target.behaviour.serviceMillis = [{ prefix: "/", millis: 300 }];
    }
    const ticket = await fetchTicket(callerAddress(id));
    const head = "POST /v1/run/m1/s1/charge HTTP/1.1\r\nHost: e\r\n" +
      `Idempotency-Key: ${ticket}\r\nBamboolane-Client: 10.1.0.1\r\n`;
    const chunk = "x".repeat(100_000);
    const parts = bytes.startsWith("malformed")
      ? [`${head}Content-Length: 1\r\n\r\nx`, "\x16\x03\x01 no request\r\n\r\n"]
      : [
        `${head}Transfer-Encoding: chunked\r\n\r\n` +
        `${chunk.length.toString(16)}\r\n${chunk}\r\n`,
        "no length\r\n",
      ];
    rawAnswers = await exchangeBytes(callerAddress(id), parts);
  },
);

Then("the connection's answers don't say that it did not run", () => {
  assert.doesNotMatch(rawAnswers, /bamboolane-outcome: not-run/i);
});
