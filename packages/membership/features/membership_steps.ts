/**
 * Steps for membership.
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { MembershipTable } from "@bamboolane/membership/membership_table";
import { planLinks } from "@bamboolane/membership/plan_links";
import { type InstanceRecord, InstanceState } from "@bamboolane/types/instance";

const PROPERTY_SEED = 14;
let peerTable: MembershipTable;
let ownTable: MembershipTable;

function record(
  id: string,
  fields: Partial<InstanceRecord> = {},
): InstanceRecord {
  return {
    id,
    dataCentre: "a1",
    region: "east",
    callerAddress: "",
    peerAddress: "",
    incarnation: 1,
    version: 1,
    state: InstanceState.serving,
    revision: 0,
    cutOff: false,
    pools: [],
    ...fields,
  };
}

function createTable(self: InstanceRecord, maxRecords = 1000): MembershipTable {
  return new MembershipTable({ self, maxRecords, deadRetentionMillis: 1000 });
}

function summarize(table: MembershipTable): string {
  return table.all().filter((r) => r.id !== table.self.id)
    .map((r) => `${r.id}/${r.incarnation}/${r.version}/${r.state}`).sort().join(
      " ",
    );
}

Then("random records merged in random orders give equal tables", () => {
  const arbitrary = fc.record({
    id: fc.constantFrom("e1", "e2", "e3"),
    incarnation: fc.nat(2),
    version: fc.nat(3),
    state: fc.constantFrom(...Object.values(InstanceState)),
  });
  fc.assert(
    fc.property(
      fc.array(arbitrary, { maxLength: 20 }),
      fc.array(fc.nat(1000), { minLength: 20, maxLength: 20 }),
      (records, order) => {
        const left = createTable(record("x"));
        const right = createTable(record("y"));
        for (const fields of records) left.merge(record(fields.id, fields), 0);
        const shuffled = records.map((fields, i) => ({
          fields,
          rank: order[i],
        }))
          .sort((a, b) => a.rank - b.rank);
        for (const { fields } of shuffled) {
          right.merge(record(fields.id, fields), 0);
        }
        assert.equal(summarize(left), summarize(right));
      },
    ),
    { seed: PROPERTY_SEED, numRuns: 500 },
  );
});

Given("instance {string} that a peer wrongly declared dead", (id: string) => {
  ownTable = createTable(record(id));
  peerTable = createTable(record("peer"));
  peerTable.merge(ownTable.self, 0);
  peerTable.declareDead(id, 0);
  assert.equal(peerTable.get(id)?.state, InstanceState.dead);
});

When("{string} receives the dead record", (id: string) => {
  assert.ok(ownTable.merge(peerTable.get(id) as InstanceRecord, 0));
});

Then(
  "the peer lists {string} as serving again after it merges {string}'s record",
  (id: string, _same: string) => {
    peerTable.merge(ownTable.self, 0);
    assert.equal(peerTable.get(id)?.state, InstanceState.serving);
  },
);

Then("a dead record of an earlier incarnation changes nothing", () => {
  const before = ownTable.self.version;
  assert.ok(
    !ownTable.merge(
      record(ownTable.self.id, {
        incarnation: 0,
        state: InstanceState.dead,
      }),
      0,
    ),
  );
  assert.equal(ownTable.self.version, before);
});

Given("a record of {string} that was declared dead", (id: string) => {
  peerTable = createTable(record("peer"));
  peerTable.merge(record(id), 0);
  peerTable.declareDead(id, 0);
});

When("a record of a new incarnation of {string} is received", (id: string) => {
  peerTable.merge(
    record(id, {
      incarnation: 2,
      version: 0,
      state: InstanceState.joining,
    }),
    0,
  );
});

Then("it is live with the new incarnation", () => {
  assert.deepEqual(peerTable.live().map((r) => [r.id, r.incarnation]), [
    ["peer", 1],
    ["e2", 2],
  ]);
});

Given("a table bounded to {int} records", (maxRecords: number) => {
  peerTable = createTable(record("peer"), maxRecords);
});

When("{int} instances join and are declared dead", (count: number) => {
  for (let i = 0; i < count; i++) {
    peerTable.merge(record(`e${i}`), 0);
    peerTable.declareDead(`e${i}`, 0);
  }
});

Then(
  "it holds at most {int} records and dead records are removed after their retention time",
  (maxRecords: number) => {
    assert.ok(peerTable.all().length <= maxRecords);
    peerTable.removeExpired(2000);
    assert.deepEqual(peerTable.all().map((r) => r.id), ["peer"]);
  },
);

const FLEET = Array.from(
  { length: 540 },
  (_, i) =>
    record(`e${i}`, {
      dataCentre: `d${i % 37}`,
      region: `r${i % 37 % 12}`,
    }),
);

function createFullTable(self: InstanceRecord): MembershipTable {
  const table = createTable(self);
  for (const other of FLEET) if (other.id !== self.id) table.merge(other, 0);
  return table;
}

const NO_REFUSALS = { isRefused: () => false };

Then(
  "in a fleet of 540 instances in 37 data centres each instance keeps at most {int} streams",
  (limit: number) => {
    for (const self of FLEET.filter((_, i) => i % 9 === 0)) {
      assert.ok(planLinks(createFullTable(self), NO_REFUSALS).length <= limit);
    }
  },
);

Then(
  "an instance that is not a relay keeps one stream to each peer of its data centre and no others",
  () => {
    const nonRelay = FLEET.map(createFullTable).find((t) =>
      t.ownRelayRank() < 0
    ) as MembershipTable;
    const links = planLinks(nonRelay, NO_REFUSALS);
    const peers =
      FLEET.filter((r) => r.dataCentre === nonRelay.self.dataCentre).length - 1;
    assert.equal(links.length, peers);
    assert.ok(links.every((l) => l.scope.kind === "mesh"));
  },
);

Then(
  "a relay's mesh stream carries other data centres' records, a non-relay's does not, and the relay's stream to another data centre carries only its own data centre's records",
  () => {
    const tables = FLEET.filter((r) => r.dataCentre === "d0").map(
      createFullTable,
    );
    const relay = tables.find((t) => t.ownRelayRank() >= 0) as MembershipTable;
    const nonRelay = tables.find((t) =>
      t.ownRelayRank() < 0
    ) as MembershipTable;
    const others = FLEET.filter((r) => r.dataCentre !== "d0").length;
    assert.equal(relay.changesSince(0, { kind: "mesh" }).length, others + 1);
    assert.equal(nonRelay.changesSince(0, { kind: "mesh" }).length, 1);
    const relayed = relay.changesSince(0, { kind: "relay", dataCentre: "d1" });
    assert.ok(relayed.every((r) => r.dataCentre === "d0"));
  },
);
