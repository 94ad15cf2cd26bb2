/**
 * Steps about which entries live, and who does what for its data centre.
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  type Candidate,
  isRelay,
  isStoreFollower,
} from "@bamboolane/steering/elect_entries";
import { MemberView } from "@bamboolane/steering/member_view";
import { selectEntries } from "@bamboolane/steering/select_entries";
import type { EntryRecord } from "@bamboolane/steering/steering_config";

function entry(id: string, dataCentre: string, region: string): EntryRecord {
  return {
    id,
    incarnation: 1,
    dataCentre,
    region,
    callerAddress: `${id}:1`,
    peerAddress: `${id}:2`,
    stateAddress: `${id}:3`,
  };
}

Then(
  "a data centre with two entries names both, and one with a single entry names its region",
  () => {
    const live = [
      entry("a", "a1", "a"),
      entry("b", "a1", "a"),
      entry("c", "a2", "a"),
      entry("d", "b1", "b"),
    ];
    const ask = (dataCentre: string, region: string) =>
      selectEntries({ dataCentre, region }, live).sort();
    assert.deepEqual(ask("a1", "a"), ["a:1", "b:1"]);
    assert.deepEqual(ask("a2", "a"), ["a:1", "b:1", "c:1"]);
    assert.deepEqual(ask("c1", "c"), ["a:1", "b:1", "c:1", "d:1"]);
  },
);

let members: MemberView;
const heard = {
  serving: true,
  reachesStore: true,
  inFlight: new Map([["t", 2]]),
};

Given("two entries that were heard", () => {
  members = new MemberView();
  members.applyHeartbeat(entry("a", "a1", "a"), heard, 0);
  members.applyHeartbeat(entry("b", "a1", "a"), heard, 0);
});

When("one is silent for {float} s", (seconds: number) => {
  members.applyHeartbeat(entry("b", "a1", "a"), heard, seconds * 1000);
});

Then("only the other is named", () => {
  const named = members.serving(1600).map(({ record }) => record.id);
  assert.deepEqual(named, ["b"]);
  assert.equal(members.inFlightAt("t", 1600), 2);
  assert.equal(members.count, 3, "the silent one still counts");
});

Given(
  "a digest of entries {string} and {string} of another data centre with {int} requests at a target",
  (first: string, second: string, count: number) => {
    members = new MemberView();
    members.apply(first, entry(first, "b1", "b"), 1);
    members.apply(second, entry(second, "b1", "b"), 2);
    const known = members.applyDigest({
      relay: entry(first, "b1", "b"),
      serving: [first, second],
      inFlight: new Map([["t", count]]),
    }, 0);
    assert.ok(known);
  },
);

function namedAt(nowMillis: number): string[] {
  return members.serving(nowMillis).map(({ record }) => record.id).sort();
}

Then("both are named, and {int} requests are at the target", (n: number) => {
  assert.deepEqual(namedAt(100), ["c", "d"]);
  assert.equal(members.inFlightAt("t", 100), n);
});

Then(
  "after a digest without {string} only {string} is named",
  (_gone: string, left: string) => {
    members.applyDigest({
      relay: entry(left, "b1", "b"),
      serving: [left],
      inFlight: new Map([["t", 1]]),
    }, 600);
    assert.deepEqual(namedAt(700), [left]);
    assert.equal(members.inFlightAt("t", 700), 1);
  },
);

Then(
  "after {float} s of silence none is named and {int} requests are at the target",
  (seconds: number, count: number) => {
    const nowMillis = 600 + seconds * 1000;
    assert.deepEqual(namedAt(nowMillis), []);
    assert.equal(members.inFlightAt("t", nowMillis), count);
  },
);

let counts: number[] = [];

When(
  "a list without {string} is read while {string} is still heard, and again when both are silent",
  (_gone: string, _same: string) => {
    const listed = new Set(["b"]);
    members.retain(listed, 100);
    counts = [members.count];
    members.retain(listed, 60_000);
    counts.push(members.count);
  },
);

Then(
  "{string} counted at first and only {string} counts afterwards",
  (_gone: string, left: string) => {
    // This entry counts, too.
    assert.deepEqual(counts, [3, 2]);
    assert.deepEqual(members.all().map(({ record }) => record.id), [left]);
  },
);

function candidates(count: number, lost = 0): Candidate[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `entry-${String(i).padStart(2, "0")}`,
    reachesStore: i >= lost,
  }));
}

function followersOf(all: readonly Candidate[]): string[] {
  return all.filter((self) =>
    isStoreFollower(self, all.filter((other) => other !== self))
  ).map(({ id }) => id);
}

Then(
  "of {int} entries that hear each other {int} is the relay and {int} follow the store",
  (count: number, relays: number, followers: number) => {
    const all = candidates(count);
    const ids = all.map(({ id }) => id);
    const speaking = ids.filter((self) =>
      isRelay(self, ids.filter((id) => id !== self))
    );
    assert.equal(speaking.length, relays);
    assert.equal(followersOf(all).length, followers);
  },
);

Then(
  "when the first {int} of {int} lose the store the next {int} follow it",
  (lost: number, count: number, followers: number) => {
    const all = candidates(count, lost);
    const expected = all.slice(lost, lost + followers).map(({ id }) => id);
    assert.deepEqual(followersOf(all), expected);
  },
);

Given("an entry that was heard in its second life", () => {
  members = new MemberView();
  members.applyHeartbeat(
    { ...entry("a", "a1", "a"), incarnation: 2 },
    heard,
    0,
  );
});

When("a heartbeat of its first life arrives", () => {
  const earlier = { serving: false, reachesStore: true, inFlight: new Map() };
  assert.equal(
    members.applyHeartbeat(entry("a", "a1", "a"), earlier, 10),
    false,
  );
});

Then("it still counts with its second life", () => {
  assert.equal(members.serving(20)[0].record.incarnation, 2);
});
