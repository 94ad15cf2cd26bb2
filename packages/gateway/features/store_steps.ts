/**
 * Steps for the state that entries get from the store and from each other.
 */
import assert from "node:assert/strict";
import { createServer } from "node:http";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { request } from "undici";
import { StateTable } from "@bamboolane/gateway/state_store";
import { call, gatewayOf, pause, world } from "./support/scenario.ts";
import {
  testConfig,
  testDialect,
  until,
  untilWithin,
} from "./support/test_gateway.ts";

/** Waits until an entry has applied the latest change in the store. */
async function waitForState(
  entry: string,
  check: () => boolean,
): Promise<void> {
  await until(check, `${entry} applies the change`);
}

When("{string} reports that it drains", async (id: string) => {
  world.system.writeTarget(id, true);
  for (const [name, { gateway }] of world.system.entries) {
    await waitForState(
      name,
      () => gateway.state.targets.get(id)?.isLeaving() ?? false,
    );
  }
});

When("data centre {string} is evacuated", async (dataCentre: string) => {
  world.system.store.put(StateTable.operator, {
    kind: "evacuation",
    dataCentre,
    active: true,
  });
  for (const [name, { gateway }] of world.system.entries) {
    await waitForState(name, () => gateway.state.isEvacuated(dataCentre));
  }
});

When(
  "the evacuation of data centre {string} ends",
  async (dataCentre: string) => {
    world.system.store.put(StateTable.operator, {
      kind: "evacuation",
      dataCentre,
      active: false,
    });
    for (const [name, { gateway }] of world.system.entries) {
      await waitForState(name, () => !gateway.state.isEvacuated(dataCentre));
    }
  },
);

When(
  "revision {int} drops the route {string}",
  async (revision: number, prefix: string) => {
    world.system.publish(testConfig(revision, [prefix]));
    for (const [name, { gateway }] of world.system.entries) {
      await waitForState(
        name,
        () => gateway.state.config?.revision === revision,
      );
    }
  },
);

When(
  "revision {int} with all routes is written afterwards",
  async (revision: number) => {
    world.system.publish(testConfig(revision));
    await pause(400);
  },
);

When(
  "the store drops its history while {string} drains",
  async (id: string) => {
    world.system.writeTarget(id, true);
    world.system.store.compact();
    for (const [name, { gateway }] of world.system.entries) {
      await waitForState(
        name,
        () => gateway.state.targets.get(id)?.isLeaving() ?? false,
      );
    }
  },
);

When(
  "the store refuses {string} and revision {int} drops the route {string}",
  async (entry: string, revision: number, prefix: string) => {
    // Both entries know each other before the store refuses one.
    await until(
      async () => (await world.system.listedAddresses(entry)).length === 2,
      "peers",
    );
    world.system.store.setUnavailable(entry, true);
    world.system.publish(testConfig(revision, [prefix]));
  },
);

Then(
  "only {string} and {string} watch the store within {int} s",
  (first: string, second: string, seconds: number) =>
    untilWithin(
      () => world.system.store.watchers().join() === `${first},${second}`,
      { seconds, description: `${first} and ${second} watch` },
    ),
);

Then(
  "{string} knows within {int} s that {string} drains",
  async (entry: string, seconds: number, target: string) => {
    const startMillis = performance.now();
    const { state } = gatewayOf(entry);
    await until(
      () => state.targets.get(target)?.isLeaving() ?? false,
      `${entry} knows`,
    );
    assert.ok(performance.now() - startMillis < seconds * 1000);
  },
);

When(
  "the store refuses {string} and {string}",
  (first: string, second: string) => {
    world.system.store.setUnavailable(first, true);
    world.system.store.setUnavailable(second, true);
  },
);

When("{string} stops", async (entry: string) => {
  await gatewayOf(entry).stop();
  world.system.entries.delete(entry);
});

/** Callers' addresses that a directory should list. */
function addressesOf(entries: Iterable<string>): string {
  return [...entries].map((id) => world.system.settings(id).listen.callers)
    .sort().join();
}

Then(
  "the directory of {string} lists all {int} entries within {int} s",
  (entry: string, count: number, seconds: number) =>
    untilWithin(async () => {
      const addresses = await world.system.listedAddresses(entry);
      return addresses.length === count &&
        addresses.join() === addressesOf(world.system.entries.keys());
    }, { seconds, description: `${entry} lists all` }),
);

Then(
  "the directory of {string} lists {string} and {string} within {int} s",
  (entry: string, first: string, second: string, seconds: number) =>
    untilWithin(
      async () =>
        (await world.system.listedAddresses(entry)).join() ===
          addressesOf([first, second]),
      { seconds, description: `${entry} lists ${first} and ${second}` },
    ),
);

When(
  "the record of {string} lapses during an outage of the store",
  async (target: string) => {
    for (const entry of world.system.entries.keys()) {
      world.system.store.setUnavailable(entry, true);
    }
    world.system.store.put(StateTable.targets, {
      kind: "target",
      id: target,
      record: undefined,
    });
    // The followers notice the outage before it ends.
    await pause(100);
  },
);

When("the store recovers for {string}", async (entry: string) => {
  const { state } = gatewayOf(entry);
  const before = state.storeRecoveredAtMillis;
  world.system.store.setUnavailable(entry, false);
  await until(
    () => state.storeRecoveredAtMillis > before,
    "the store has recovered",
  );
});

Then(
  "{string} answers {int} to {string} for {int} s",
  async (entry: string, status: number, path: string, seconds: number) => {
    const endMillis = performance.now() + seconds * 1000;
    while (performance.now() < endMillis) {
      assert.equal((await call(entry, path)).status, status);
      await pause(50);
    }
  },
);

Then(
  "{string} is removed from {string} within {int} s",
  (target: string, entry: string, seconds: number) =>
    untilWithin(
      () => gatewayOf(entry).state.targets.get(target) === undefined,
      { seconds, description: `${target} is removed` },
    ),
);
Then(
  "{string} answers {int} to {string} within {int} s",
  (entry: string, status: number, path: string, seconds: number) =>
    untilWithin(
      async () => (await call(entry, path)).status === status,
      { seconds, description: `${entry} answers ${status}` },
    ),
);

Then(
  "both directories list both entries within {int} s",
  async (seconds: number) => {
    const all = [...world.system.entries.values()].map(({ settings }) =>
      settings.listen.callers
    ).sort();
    for (const entry of world.system.entries.keys()) {
      await untilWithin(
        async () =>
          (await world.system.listedAddresses(entry)).join() === all.join(),
        { seconds, description: `${entry} lists both` },
      );
    }
  },
);

let peerBehind: { address: string; close: () => void } | undefined;

After(() => {
  peerBehind?.close();
  peerBehind = undefined;
});

async function startPeer(
  answer: { status: number; body: string; delayMillis: number },
): Promise<void> {
  const server = createServer(async (_request, response) => {
    await pause(answer.delayMillis);
    response.writeHead(answer.status).end(answer.body);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as { port: number };
  peerBehind = {
    address: `127.0.0.1:${port}`,
    close: () => server.close(),
  };
}

Given(
  "a peer that still has the state of {string} and sends it after {int} ms",
  (entry: string, delayMillis: number) => {
    const delta = gatewayOf(entry).state.latestRows.changesSince([0, 0]);
    return startPeer({ status: 200, body: JSON.stringify(delta), delayMillis });
  },
);

Given(
  "a peer that has read the configuration of {string} and no targets",
  (entry: string) => {
    const delta = gatewayOf(entry).state.latestRows.changesSince([0, 0]);
    const [operator] = delta.versions;
    const body = JSON.stringify({
      rows: delta.rows.filter(({ kind }) => kind === "config"),
      whole: delta.whole,
      versions: [operator, 0],
      completeTo: [operator, 0],
    });
    return startPeer({ status: 200, body, delayMillis: 0 });
  },
);

Given(
  /^a peer that answers (\d+) with '(.*)'$/,
  (status: string, body: string) =>
    startPeer({ status: Number(status), body, delayMillis: 0 }),
);

Then(
  "the log names the address from which nothing could be borrowed",
  () => {
    const address = peerBehind?.address ?? "";
    return untilWithin(
      () =>
        world.system.logText.split("\n").some((line) =>
          line.includes("borrow_failed") && line.includes(address)
        ),
      { seconds: 2, description: `borrow_failed names ${address}` },
    );
  },
);

const NO_LIMITS = {
  headerBytes: null,
  bodyBytes: null,
  headerTimeoutMillis: null,
  idleTimeoutMillis: null,
};

/** Answers of a peer of another build, by description. */
const ODD_STATES: Record<string, unknown> = {
  "an empty object": {},
  "a row that is null": stateOf(null),
  "limits without a time": stateOf({
    kind: "config",
    version: 1,
    config: { revision: 1e6, routes: [], services: [], limits: NO_LIMITS },
  }),
  "a target without an address": stateOf({
    kind: "target",
    version: 1,
    id: "t9",
    record: { id: "t9" },
  }),
};

function stateOf(row: unknown): unknown {
  return { rows: [row], whole: true, versions: [1, 1], completeTo: [1, 1] };
}

Given(
  /^a peer that sends (.+) as its state$/,
  (description: string) =>
    startPeer({
      status: 200,
      body: JSON.stringify(ODD_STATES[description]),
      delayMillis: 0,
    }),
);

Given(
  "an entry {string} that can't reach the store, with {string} and that peer as seeds",
  (id: string, seed: string) =>
    world.system.addEntry(id, {
      storeUnavailable: true,
      seeds: [seed, peerBehind?.address ?? ""],
    }),
);

Given(
  "an entry {string} that can't reach the store, with that peer as seed",
  (id: string) =>
    world.system.addEntry(id, {
      storeUnavailable: true,
      seeds: [peerBehind?.address ?? ""],
    }),
);

Then(
  "{string} has the configuration within {int} s and isn't ready for {int} s",
  async (entry: string, seconds: number, readySeconds: number) => {
    const { state } = gatewayOf(entry);
    await untilWithin(
      () => state.config !== undefined,
      { seconds, description: `${entry} has the configuration` },
    );
    const { readiness } = world.system.settings(entry).listen;
    const endMillis = performance.now() + readySeconds * 1000;
    while (performance.now() < endMillis) {
      const { statusCode, body } = await request(
        `http://${readiness}${testDialect.readinessPath}`,
      );
      await body.dump();
      assert.equal(statusCode, 503);
      await pause(50);
    }
  },
);

When("the record of {string} is removed", async (id: string) => {
  world.system.store.put(StateTable.targets, {
    kind: "target",
    id,
    record: undefined,
  });
  for (const [name, { gateway }] of world.system.entries) {
    await waitForState(name, () => gateway.state.targets.get(id) === undefined);
  }
});

When(
  "the store refuses {string} while the record of {string} is removed and {string} reports again",
  async (entry: string, removed: string, reporting: string) => {
    await until(
      () => world.system.logText.includes(`event=registered instance=${entry}`),
      `${entry} is registered`,
    );
    const { store } = world.system;
    store.setUnavailable(entry, true);
    store.put(StateTable.targets, {
      kind: "target",
      id: removed,
      record: undefined,
    });
    world.system.writeTarget(reporting, false);
  },
);

Then(
  "{string} has only the target {string} and no evacuation of {string} for {int} s",
  async (entry: string, id: string, dataCentre: string, seconds: number) => {
    const { state } = gatewayOf(entry);
    await until(() => state.isComplete, `${entry} has its state`);
    const endMillis = performance.now() + seconds * 1000;
    while (performance.now() < endMillis) {
      const ids = [...state.targets.all()].map(({ record }) => record.id);
      assert.deepEqual(ids, [id]);
      assert.ok(!state.isEvacuated(dataCentre), `${dataCentre} is evacuated`);
      await pause(20);
    }
  },
);
