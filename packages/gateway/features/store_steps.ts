/**
 * Steps about what entries learn from the store and from each other.
 */
import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { StateTable } from "@bamboolane/gateway/state_store";
import { call, gatewayOf, pause, world } from "./support/scenario.ts";
import { testConfig, until } from "./support/test_gateway.ts";

/** Waits until an entry has seen what the store says now. */
async function waitForState(
  entry: string,
  check: () => boolean,
): Promise<void> {
  await until(check, `${entry} follows the store`);
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
  "revision {int} with all routes is written again",
  async (revision: number) => {
    world.system.publish(testConfig(revision));
    await pause(400);
  },
);

When(
  "the store forgets its history while {string} drains",
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
    // Both know each other before the store turns one away.
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
  (first: string, second: string, _seconds: number) =>
    until(
      () => world.system.store.watchers().join() === `${first},${second}`,
      `${first} and ${second} watch`,
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
  "the store turns {string} and {string} away",
  (first: string, second: string) => {
    world.system.store.setUnavailable(first, true);
    world.system.store.setUnavailable(second, true);
  },
);

When("{string} falls silent", async (entry: string) => {
  await gatewayOf(entry).stop();
  world.system.entries.delete(entry);
});

/** Callers' addresses that a directory should name. */
function addressesOf(entries: Iterable<string>): string {
  return [...entries].map((id) => world.system.settings(id).listen.callers)
    .sort().join();
}

Then(
  "the directory of {string} names all {int} entries within {int} s",
  (entry: string, count: number, _seconds: number) =>
    until(async () => {
      const names = await world.system.listedAddresses(entry);
      return names.length === count &&
        names.join() === addressesOf(world.system.entries.keys());
    }, `${entry} names all`),
);

Then(
  "the directory of {string} names {string} and {string} within {int} s",
  (entry: string, first: string, second: string, _seconds: number) =>
    until(
      async () =>
        (await world.system.listedAddresses(entry)).join() ===
          addressesOf([first, second]),
      `${entry} names ${first} and ${second}`,
    ),
);

When(
  "the store is away while the record of {string} lapses",
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

When("the store is back for {string}", async (entry: string) => {
  const { state } = gatewayOf(entry);
  const before = state.storeRecoveredAtMillis;
  world.system.store.setUnavailable(entry, false);
  await until(() => state.storeRecoveredAtMillis > before, "the store is back");
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
  "{string} is gone for {string} within {int} s",
  (target: string, entry: string, _seconds: number) =>
    until(
      () => gatewayOf(entry).state.targets.get(target) === undefined,
      `${target} is gone`,
    ),
);
Then(
  "{string} answers {int} to {string} within {int} s",
  (entry: string, status: number, path: string, _seconds: number) =>
    until(
      async () => (await call(entry, path)).status === status,
      `${entry} answers ${status}`,
    ),
);

Then(
  "the directories of both name both within {int} s",
  async (_seconds: number) => {
    const all = [...world.system.entries.values()].map(({ settings }) =>
      settings.listen.callers
    ).sort();
    for (const entry of world.system.entries.keys()) {
      await until(
        async () =>
          (await world.system.listedAddresses(entry)).join() === all.join(),
        `${entry} names both`,
      );
    }
  },
);
