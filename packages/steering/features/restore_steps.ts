/**
 * Steps for rows of a restored store.
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  eraOf,
  storeVersionOf,
  toStateVersion,
} from "@bamboolane/steering/state_version";
import type { TargetRecord } from "@bamboolane/steering/steering_config";
import {
  type TargetChange,
  TargetRegistry,
} from "@bamboolane/steering/target_registry";

/** No grace period for lapsed records applies. */
const TIMES = { nowMillis: 0, storeRecoveredAtMillis: -Infinity };

let registry: TargetRegistry;
let lastChange: TargetChange;

function parseVersion(text: string): number {
  const [era, version] = text.split("/").map(Number);
  return toStateVersion({ era, version });
}

function recordOf(id: string, fields: Partial<TargetRecord>): TargetRecord {
  return {
    id,
    service: "s",
    address: "127.0.0.1:1",
    dataCentre: "a1",
    slots: 3,
    draining: false,
    warmupLeftMillis: 0,
    bornMillis: 1,
    sequence: 0,
    ...fields,
  };
}

function applyRecord(
  id: string,
  row: { version: string; fields: Partial<TargetRecord> },
): void {
  lastChange = registry.apply({
    id,
    version: parseVersion(row.version),
    record: recordOf(id, row.fields),
  }, TIMES);
}

function stateOf(id: string): string {
  const target = registry.get(id);
  if (target === undefined) return "unknown";
  if (target.record.bornMillis > 1) return "the later incarnation";
  return target.isLeaving() ? "draining" : "ready";
}

Given(
  /^a registry with target "(\w+)" at (\S+) with record (\d+)$/,
  (id: string, version: string, sequence: string) => {
    registry = new TargetRegistry();
    applyRecord(id, { version, fields: { sequence: Number(sequence) } });
  },
);

When(
  /^"(\w+)" gets record (\d+) at (\S+), (ready|draining)$/,
  (id: string, sequence: string, version: string, state: string) =>
    applyRecord(id, {
      version,
      fields: { sequence: Number(sequence), draining: state === "draining" },
    }),
);

When(
  /^another incarnation of "(\w+)" registers at (\S+)$/,
  (id: string, version: string) =>
    applyRecord(id, { version, fields: { bornMillis: 2, sequence: 1 } }),
);

When(/^"(\w+)" is removed at (\S+)$/, (id: string, version: string) => {
  lastChange = registry.apply({
    id,
    version: parseVersion(version),
    record: undefined,
  }, TIMES);
});

Then(
  /^that row is "(\w+)", and "(\w+)" is (.+)$/,
  (effect: string, id: string, state: string) => {
    assert.equal(lastChange, effect);
    assert.equal(stateOf(id), state);
  },
);

Then(
  /^"(\w+)" is unknown after (\S+) s(?: and ready after (\S+) s)?$/,
  (id: string, unknownSeconds: string, readySeconds: string | null) => {
    registry.expire(Number(unknownSeconds) * 1000);
    assert.equal(stateOf(id), "unknown");
    if (readySeconds === null) return;
    registry.expire(Number(readySeconds) * 1000);
    assert.equal(stateOf(id), "ready");
  },
);

Then(
  /^(\S+) is higher than (\S+), and (\S+) is higher than (\S+)$/,
  (a: string, b: string, c: string, d: string) => {
    assert.ok(parseVersion(a) > parseVersion(b));
    assert.ok(parseVersion(c) > parseVersion(d));
    assert.equal(eraOf(parseVersion(a)), 2);
    assert.equal(storeVersionOf(parseVersion(b)), 1_000_000);
  },
);

Then("a version that can't be told from others is rejected", () => {
  assert.throws(() => toStateVersion({ era: 1, version: 2 ** 40 }), RangeError);
  assert.throws(() => toStateVersion({ era: 2 ** 20, version: 1 }), RangeError);
});
