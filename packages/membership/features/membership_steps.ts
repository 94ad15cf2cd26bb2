/**
 * Steps for membership.
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { MembershipTable } from "@bamboolane/membership/membership_table";
import { planLinks } from "@bamboolane/membership/plan_links";
import { type InstanceRecord, InstanceState } from "@bamboolane/types/instance";

const propertySeed = 14;
let peer: MembershipTable;
let own: MembershipTable;

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

function tableOf(self: InstanceRecord, maxRecords = 1000): MembershipTable {
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
        const left = tableOf(record("x"));
        const right = tableOf(record("y"));
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
    { seed: propertySeed, numRuns: 500 },
  );
});

Given("instance {string} that a peer wrongly declared dead", (id: string) => {
  own = tableOf(record(id));
  peer = tableOf(record("peer"));
  peer.merge(own.self, 0);
  peer.declareDead(id, 0);
  assert.equal(peer.get(id)?.state, InstanceState.dead);
});

When("{string} hears of its death", (id: string) => {
  assert.ok(own.merge(peer.get(id) as InstanceRecord, 0));
});

Then(
  "the peer believes {string} to be live again after it hears {string}'s record",
  (id: string, _same: string) => {
    peer.merge(own.self, 0);
    assert.equal(peer.get(id)?.state, InstanceState.serving);
  },
);

Then("a death of an earlier incarnation changes nothing", () => {
  const before = own.self.version;
  assert.ok(
    !own.merge(
      record(own.self.id, { incarnation: 0, state: InstanceState.dead }),
      0,
    ),
  );
  assert.equal(own.self.version, before);
});

Given("a record of {string} that was declared dead", (id: string) => {
  peer = tableOf(record("peer"));
  peer.merge(record(id), 0);
  peer.declareDead(id, 0);
});

When("a new incarnation of {string} is heard", (id: string) => {
  peer.merge(
    record(id, { incarnation: 2, version: 0, state: InstanceState.joining }),
    0,
  );
});

Then("it is live with the new incarnation", () => {
  assert.deepEqual(peer.live().map((r) => [r.id, r.incarnation]), [
    ["peer", 1],
    ["e2", 2],
  ]);
});

Given("a table bounded to {int} records", (maxRecords: number) => {
  peer = tableOf(record("peer"), maxRecords);
});

When("{int} instances come and go", (count: number) => {
  for (let i = 0; i < count; i++) {
    peer.merge(record(`e${i}`), 0);
    peer.declareDead(`e${i}`, 0);
  }
});

Then(
  "it holds at most {int} records and the dead are forgotten after their time",
  (maxRecords: number) => {
    assert.ok(peer.all().length <= maxRecords);
    peer.forgetOld(2000);
    assert.deepEqual(peer.all().map((r) => r.id), ["peer"]);
  },
);

const fleet = Array.from(
  { length: 540 },
  (_, i) =>
    record(`e${i}`, { dataCentre: `d${i % 37}`, region: `r${i % 37 % 12}` }),
);

function fullTable(self: InstanceRecord): MembershipTable {
  const table = tableOf(self);
  for (const other of fleet) if (other.id !== self.id) table.merge(other, 0);
  return table;
}

const nobodyRefuses = { isRefused: () => false };

Then(
  "in a fleet of 540 instances in 37 data centres each instance keeps at most {int} streams",
  (limit: number) => {
    for (const self of fleet.filter((_, i) => i % 9 === 0)) {
      assert.ok(planLinks(fullTable(self), nobodyRefuses).length <= limit);
    }
  },
);

Then(
  "instances that are no relays keep a stream to each of their data centre only",
  () => {
    const plain = fleet.map(fullTable).find((t) =>
      t.ownRelayRank() < 0
    ) as MembershipTable;
    const links = planLinks(plain, nobodyRefuses);
    const mates =
      fleet.filter((r) => r.dataCentre === plain.self.dataCentre).length - 1;
    assert.equal(links.length, mates);
    assert.ok(links.every((l) => l.scope.kind === "mesh"));
  },
);

Then(
  "a mesh stream of a relay carries other data centres' records and a plain instance's does not",
  () => {
    const mates = fleet.filter((r) => r.dataCentre === "d0").map(fullTable);
    const relay = mates.find((t) => t.ownRelayRank() >= 0) as MembershipTable;
    const plain = mates.find((t) => t.ownRelayRank() < 0) as MembershipTable;
    const others = fleet.filter((r) => r.dataCentre !== "d0").length;
    assert.equal(relay.changesSince(0, { kind: "mesh" }).length, others + 1);
    assert.equal(plain.changesSince(0, { kind: "mesh" }).length, 1);
    const between = relay.changesSince(0, { kind: "relay", dataCentre: "d1" });
    assert.ok(between.every((r) => r.dataCentre === "d0"));
  },
);
