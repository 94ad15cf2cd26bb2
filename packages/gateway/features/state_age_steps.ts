/**
 * Steps for the age of what entries believe, while paths to the store fail.
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { LatestRows } from "@bamboolane/gateway/latest_rows";
import { StateConfirmations } from "@bamboolane/gateway/state_confirmations";
import { StateTable } from "@bamboolane/gateway/state_store";
import type { GatewayState } from "@bamboolane/gateway/gateway_state";
import { gatewayOf, pause, world } from "./support/scenario.ts";
import { testConfig, until, untilWithin } from "./support/test_gateway.ts";

/** Time in which the followers of a data centre are elected. */
const ELECTION_SECONDS = 6;

const STEP_TIMEOUT_MILLIS = 15_000;

/** The latest change, and how to tell that an entry applied it. */
let change: {
  madeAtMillis: number;
  isApplied: (state: GatewayState) => boolean;
};

function idsBetween(first: string, last: string): string[] {
  const [from, to] = [first, last].map((id) => Number(id.slice(1)));
  return Array.from({ length: to - from + 1 }, (_, i) => `e${from + i}`);
}

Given(
  "entries {string} to {string} of which the first {int} watch the store",
  { timeout: STEP_TIMEOUT_MILLIS },
  async (first: string, last: string, count: number) => {
    const ids = idsBetween(first, last);
    for (const id of ids) await world.system.addEntry(id);
    await untilWithin(
      () =>
        world.system.store.watchers().join() === ids.slice(0, count).join() &&
        ids.every((id) => gatewayOf(id).state.members.count === ids.length),
      { seconds: ELECTION_SECONDS, description: `${count} entries watch` },
    );
  },
);

When(
  "{string} and {string} get no answers from the store",
  (first: string, second: string) => {
    for (const id of [first, second]) world.system.store.silence(id);
  },
);

When(
  "{string} and {string} get none either from their first watch on",
  async (first: string, second: string) => {
    const { store } = world.system;
    for (const id of [first, second]) store.silenceFromNextWatch(id);
    await until(
      () => store.watchers().some((id) => id === first || id === second),
      `${first} or ${second} watches`,
    );
  },
);

When(
  "the open connections of {string} and {string} to the store go silent",
  (first: string, second: string) => {
    for (const id of [first, second]) {
      world.system.store.silenceConnections(id);
    }
  },
);

When(
  "{string} and {string} get the store's answers {int} ms late",
  (first: string, second: string, millis: number) => {
    for (const id of [first, second]) {
      world.system.store.delayAnswers(id, millis);
    }
  },
);

When(
  "the store refuses the watches of {string} and {string}",
  async (first: string, second: string) => {
    for (const id of [first, second]) world.system.store.refuseWatches(id);
    await pause(50);
  },
);

function recordChange(isApplied: (state: GatewayState) => boolean): void {
  change = { madeAtMillis: performance.now(), isApplied };
}

When("a route is dropped", () => {
  world.system.publish(testConfig(9, ["/read/"]));
  recordChange(({ config }) => config?.revision === 9);
});

When("a target drains", () => {
  world.system.writeTarget("t1", true);
  recordChange(({ targets }) => targets.get("t1")?.isLeaving() ?? false);
});

When("a target is removed", () => {
  world.system.store.put(StateTable.targets, {
    kind: "target",
    id: "t1",
    record: undefined,
  });
  recordChange(({ targets }) => targets.get("t1") === undefined);
});

When("data centre {string} is evacuated now", (dataCentre: string) => {
  world.system.store.put(StateTable.operator, {
    kind: "evacuation",
    dataCentre,
    active: true,
  });
  recordChange((state) => state.isEvacuated(dataCentre));
});

async function untilApplied(
  ids: readonly string[],
  boundMillis: number,
): Promise<void> {
  const late = await Promise.all(ids.map(async (id) => {
    const { state } = gatewayOf(id);
    await untilWithin(
      () => change.isApplied(state),
      { seconds: 10, description: `${id} applies it` },
    );
    const tookMillis = Math.round(performance.now() - change.madeAtMillis);
    return tookMillis > boundMillis ? `${id} after ${tookMillis} ms` : "";
  }));
  assert.deepEqual(late.filter((text) => text !== ""), []);
}

Then(
  "{string} and {string} apply it within {int} ms",
  { timeout: STEP_TIMEOUT_MILLIS },
  (first: string, second: string, boundMillis: number) =>
    untilApplied([first, second], boundMillis),
);

Then(
  "the log of {string} has {string} with {string}, {string}, {string} and {string}",
  (
    entry: string,
    event: string,
    first: string,
    second: string,
    third: string,
    fourth: string,
  ) =>
    until(() => {
      const lines = world.system.logText.split("\n").filter((line) =>
        line.includes(`event=${event} instance=${entry} `)
      );
      return lines.some((line) =>
        [first, second, third, fourth].every((field) => line.includes(field))
      );
    }, `${event} of ${entry}`),
);

let rows: LatestRows;
let confirmations: StateConfirmations;
let timeOfDayMillis = 0;

Given("an entry that knows all changes to version {int}", (version: number) => {
  rows = new LatestRows();
  confirmations = new StateConfirmations(rows, {
    steadyMillis: () => 1000,
    timeOfDayMillis: () => timeOfDayMillis,
  });
  rows.recordSnapshot([version, version]);
});

When(
  "another entry tells that the store confirmed version {int} to it, with the last change at {int}",
  (completeTo: number, changedAt: number) => {
    const confirmation = { completeTo, changedAt, ageMillis: 200 };
    confirmations.takeOver(
      { operator: confirmation, targets: confirmation },
      { source: "e2", nowMillis: 1000 },
    );
  },
);

Then(
  /^the first entry (knows all|still knows) changes to version (\d+)$/,
  (knowledge: string, version: string) => {
    assert.deepEqual(rows.completeTo, [Number(version), Number(version)]);
    for (const table of ["operator", "targets"] as const) {
      assert.equal(
        confirmations.loggedAgeMillis(table, 1000),
        knowledge === "knows all" ? 200 : undefined,
      );
    }
  },
);

When("the steady clock stands still for {int} ms", (millis: number) => {
  timeOfDayMillis += millis;
});

When("the time of day goes back by {int} ms", (millis: number) => {
  timeOfDayMillis -= millis;
});

Then("its state is {int} ms old", (millis: number) => {
  assert.equal(confirmations.age("operator").millis(1000), millis);
  assert.equal(confirmations.age("targets").millis(1000), millis);
});
