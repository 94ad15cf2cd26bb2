/**
 * Steps for a store that is restored from a copy.
 */
import assert from "node:assert/strict";
import { Before, Given, Then, When } from "@cucumber/cucumber";
import { StateTable } from "@bamboolane/gateway/state_store";
import type { StoreCopy } from "@bamboolane/standins/memory_state_store";
import { gatewayOf, pause, world } from "./support/scenario.ts";
import { answerValidly } from "./support/target_answers.ts";
import { until, untilWithin } from "./support/test_gateway.ts";

let copy: StoreCopy;
/** Entries that the store refuses also after a restore. */
const refused = new Set<string>();

Before(() => refused.clear());

Given("a copy of the store", async () => {
  for (const entry of world.system.entries.keys()) {
    await until(
      () => world.system.logText.includes(`event=registered instance=${entry}`),
      `${entry} is registered`,
    );
  }
  copy = world.system.store.copy();
});

/** Waits until each entry has the latest version of the store's targets. */
async function untilKnown(id: string): Promise<void> {
  const { version } = await world.system.store.connect("test").read(
    StateTable.targets,
  );
  for (const [name, { gateway }] of world.system.entries) {
    await until(
      () => (gateway.state.targets.get(id)?.version ?? -1) >= version,
      `${name} knows the latest row of ${id}`,
    );
  }
}

When("{string} reports {int} times", async (id: string, times: number) => {
  for (let i = 0; i < times; i++) world.system.writeTarget(id, false);
  await untilKnown(id);
});

When("a target {string} starts", async (id: string) => {
  await world.system.addTarget(id, answerValidly);
  await untilKnown(id);
});

When(
  "the store is restored from the copy without an outage that entries notice",
  () => world.system.store.restore(copy),
);

When("the store is restored from the copy", async () => {
  const { store, entries } = world.system;
  for (const entry of entries.keys()) store.setUnavailable(entry, true);
  store.restore(copy);
  // The followers notice the outage before it ends.
  await pause(100);
  for (const entry of entries.keys()) {
    if (!refused.has(entry)) store.setUnavailable(entry, false);
  }
});

Given("the store refuses {string} from now on", (entry: string) => {
  refused.add(entry);
  world.system.store.setUnavailable(entry, true);
});

When(
  "{string} begins to drain",
  (id: string) => world.system.writeTarget(id, true),
);

Then(
  "{string} still has {string} for {int} ms",
  (entry: string, id: string, millis: number) => {
    const { targets } = gatewayOf(entry).state;
    return holdsFor(
      millis,
      () => assert.equal(targets.get(id)?.isLeaving(), false),
    );
  },
);

/** Fails unless `check` holds for all of the time. */
async function holdsFor(millis: number, check: () => void): Promise<void> {
  const endMillis = performance.now() + millis;
  while (performance.now() < endMillis) {
    check();
    await pause(20);
  }
}

Then(
  "{string} counts as draining at {string} for {int} ms",
  (id: string, entry: string, millis: number) => {
    const { targets } = gatewayOf(entry).state;
    return holdsFor(
      millis,
      () => assert.equal(targets.get(id)?.isLeaving(), true),
    );
  },
);

Then(
  "{string} has no {string} for {int} ms",
  (entry: string, id: string, millis: number) => {
    const { targets } = gatewayOf(entry).state;
    return holdsFor(millis, () => assert.equal(targets.get(id), undefined));
  },
);

Then(
  "{string} has {string} within {int} s",
  (entry: string, id: string, seconds: number) =>
    untilWithin(
      () => gatewayOf(entry).state.targets.get(id) !== undefined,
      { seconds, description: `${entry} has ${id}` },
    ),
);

Then(
  /^data centre "(.*)" stays (evacuated|in use) at "(.*)" for (\d+) ms$/,
  (dataCentre: string, expected: string, entry: string, millis: string) => {
    const { state } = gatewayOf(entry);
    return holdsFor(Number(millis), () =>
      assert.equal(
        state.isEvacuated(dataCentre) ? "evacuated" : "in use",
        expected,
      ));
  },
);

/** True if the store has the record of an entry. */
async function isListed(id: string): Promise<boolean> {
  const { rows } = await world.system.store.connect("test").read(
    StateTable.entries,
  );
  return rows.some((row) => row.kind === "entry" && row.id === id);
}

Given(
  "{string} is registered",
  (id: string) => until(() => isListed(id), `${id} is registered`),
);

Then("the store lists the entry {string} within {int} s", (
  id: string,
  seconds: number,
) =>
  untilWithin(() => isListed(id), {
    seconds,
    description: `${id} is listed`,
  }));
