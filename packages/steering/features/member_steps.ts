/**
 * Steps for the liveness of entries, the directory's answer and the duties of a
 * data centre.
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
  "a data centre with two entries returns both, and one with a single entry returns those of its region",
  () => {
    const live = [
      entry("a", "a1", "a"),
      entry("b", "a1", "a"),
      entry("c", "a2", "a"),
      entry("d", "b1", "b"),
    ];
    const select = (dataCentre: string, region: string) =>
      selectEntries({ dataCentre, region }, live).sort();
    assert.deepEqual(select("a1", "a"), ["a:1", "b:1"]);
    assert.deepEqual(select("a2", "a"), ["a:1", "b:1", "c:1"]);
    assert.deepEqual(select("c1", "c"), ["a:1", "b:1", "c:1", "d:1"]);
  },
);

let members: MemberView;
let lastHeartbeatMillis = 0;
const HEARTBEAT_STATE = {
  serving: true,
  reachesStore: true,
  inFlight: new Map([["t", 2]]),
};

Given("two entries that sent a heartbeat", () => {
  members = new MemberView();
  members.applyHeartbeat(entry("a", "a1", "a"), HEARTBEAT_STATE, 0);
  members.applyHeartbeat(entry("b", "a1", "a"), HEARTBEAT_STATE, 0);
});

When("one of them sends no heartbeat for {float} s", (seconds: number) => {
  members.applyHeartbeat(
    entry("b", "a1", "a"),
    HEARTBEAT_STATE,
    seconds * 1000,
  );
});

Then("only the other counts as serving", () => {
  const servingIds = members.serving(1600).map(({ record }) => record.id);
  assert.deepEqual(servingIds, ["b"]);
  assert.equal(members.inFlightAt("t", 1600), 2);
  assert.equal(members.count, 3, "the silent entry is still known");
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

function servingAt(nowMillis: number): string[] {
  return members.serving(nowMillis).map(({ record }) => record.id).sort();
}

Then(
  "both count as serving, and {int} requests are in flight at the target",
  (n: number) => {
    assert.deepEqual(servingAt(100), ["c", "d"]);
    assert.equal(members.inFlightAt("t", 100), n);
  },
);

Then(
  "after a digest without {string} only {string} counts as serving",
  (_removed: string, remaining: string) => {
    members.applyDigest({
      relay: entry(remaining, "b1", "b"),
      serving: [remaining],
      inFlight: new Map([["t", 1]]),
    }, 600);
    assert.deepEqual(servingAt(700), [remaining]);
    assert.equal(members.inFlightAt("t", 700), 1);
  },
);

Then(
  "after {float} s without a digest none counts as serving and {int} requests are in flight at the target",
  (seconds: number, count: number) => {
    const nowMillis = 600 + seconds * 1000;
    assert.deepEqual(servingAt(nowMillis), []);
    assert.equal(members.inFlightAt("t", nowMillis), count);
  },
);

let counts: number[] = [];

When(
  "a list without {string} is read while {string} is still live, and again when both are silent",
  (_removed: string, _repeated: string) => {
    const listed = new Set(["b"]);
    members.retain(listed, 100);
    counts = [members.count];
    members.retain(listed, 60_000);
    counts.push(members.count);
  },
);

Then(
  "{string} is kept by the first read and only {string} is kept by the second",
  (_removed: string, remaining: string) => {
    // The counts include this entry itself.
    assert.deepEqual(counts, [3, 2]);
    assert.deepEqual(members.all().map(({ record }) => record.id), [remaining]);
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
  "of {int} live entries {int} is the relay and {int} follow the store",
  (count: number, relays: number, followers: number) => {
    const all = candidates(count);
    const ids = all.map(({ id }) => id);
    const relayIds = ids.filter((self) =>
      isRelay(self, ids.filter((id) => id !== self))
    );
    assert.equal(relayIds.length, relays);
    assert.equal(followersOf(all).length, followers);
  },
);

Then(
  "if the first {int} of {int} lose the store the next {int} follow it",
  (lost: number, count: number, followers: number) => {
    const all = candidates(count, lost);
    const expected = all.slice(lost, lost + followers).map(({ id }) => id);
    assert.deepEqual(followersOf(all), expected);
  },
);

Given("an entry whose second incarnation sent a heartbeat", () => {
  members = new MemberView();
  members.applyHeartbeat(
    { ...entry("a", "a1", "a"), incarnation: 2 },
    HEARTBEAT_STATE,
    0,
  );
});

When("a heartbeat of its first incarnation arrives", () => {
  const earlier = { serving: false, reachesStore: true, inFlight: new Map() };
  assert.equal(
    members.applyHeartbeat(entry("a", "a1", "a"), earlier, 10),
    false,
  );
});

When(
  "{int} s later heartbeats of an incarnation with an earlier clock arrive",
  (seconds: number) => {
    for (const sinceMillis of [0, 150, 300]) {
      lastHeartbeatMillis = seconds * 1000 + sinceMillis;
      members.applyHeartbeat(
        entry("a", "a1", "a"),
        HEARTBEAT_STATE,
        lastHeartbeatMillis,
      );
    }
  },
);

Then("that incarnation counts as serving", () => {
  assert.deepEqual(
    members.serving(lastHeartbeatMillis).map(({ record }) =>
      record.incarnation
    ),
    [1],
  );
});

Then("the entry is still known with its second incarnation", () => {
  assert.equal(members.serving(20)[0].record.incarnation, 2);
});
