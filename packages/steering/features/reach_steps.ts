/**
 * Steps for reachability of targets and for the choice of entries to forward to.
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { choosePeer, type PeerChoice } from "@bamboolane/steering/choose_peer";
import { type Member, MemberView } from "@bamboolane/steering/member_view";
import {
  findCutOffTargets,
  planReachChecks,
  type ReachCheck,
  type ReachState,
} from "@bamboolane/steering/plan_reach_checks";
import { AttemptResult, TargetState } from "@bamboolane/steering/target_state";

const states = new Map<string, ReachState>();

function targetOf(id: string): TargetState {
  return (states.get(id) as ReachState).target;
}

/** Ids in double quotes. */
function idsIn(text: string): string[] {
  return [...text.matchAll(/"(\w+)"/g)].map(([, id]) => id);
}

function addTarget(id: string, place: { dataCentre: string; service: string }) {
  const target = new TargetState({
    id,
    ...place,
    address: `${id}:1`,
    slots: 3,
    draining: false,
    warmupLeftMillis: 0,
    bornMillis: 1,
    sequence: 1,
  }, { version: 1, nowMillis: 0 });
  target.recordContact(10_000);
  states.set(id, { target, checkedAtMillis: -Infinity, checking: false });
}

function planAt(seconds: number, silentCheckAllowed = true): ReachCheck[] {
  return planReachChecks([...states.values()], {
    nowMillis: seconds * 1000,
    silentCheckAllowed,
  });
}

function planned(checks: readonly ReachCheck[], reason?: string): string[] {
  return checks
    .filter((check) => reason === undefined || check.reason === reason)
    .map(({ target }) => target.record.id).sort();
}

Given("the targets of that fleet, each heard at 10 s", () => {
  states.clear();
  for (const i of [1, 2, 3]) {
    addTarget(`a${i}`, { dataCentre: "a", service: "s" });
    addTarget(`b${i}`, { dataCentre: "b", service: "s" });
  }
  addTarget("c1", { dataCentre: "a", service: "r" });
  addTarget("c2", { dataCentre: "a", service: "r" });
});

When(
  "requests are sent to {string} and {string} and answered within 300 ms",
  (first: string, second: string) => {
    for (const id of [first, second]) {
      targetOf(id).recordSend(undefined, 10_000);
      targetOf(id).recordContact(10_250);
      targetOf(id).recordEnd();
    }
  },
);

When(
  "a request is sent to {string} at {float} s and not answered",
  (id: string, seconds: number) =>
    targetOf(id).recordSend(undefined, seconds * 1000),
);

When(
  /^((?:"\w+"(?:, | and )?)+) answers? at (\S+) s$/,
  (ids: string, seconds: string) => {
    for (const id of idsIn(ids)) {
      targetOf(id).recordContact(Number(seconds) * 1000);
    }
  },
);

When("nobody answers any more", () => {});

When(
  /^connections to (.+) fail at (\S+) s$/,
  (ids: string, seconds: string) => {
    for (const id of idsIn(ids)) {
      targetOf(id).recordResult(AttemptResult.unreachable, {
        nowMillis: Number(seconds) * 1000,
        warmupMillis: 3000,
      });
    }
  },
);

When("all of them were checked at {float} s", (seconds: number) => {
  for (const state of states.values()) state.checkedAtMillis = seconds * 1000;
});

When(
  "{string} accepts a connection at {float} s",
  (id: string, seconds: number) => targetOf(id).recordConnected(seconds * 1000),
);

Then(
  "no check is planned at {float} s",
  (seconds: number) => assert.deepEqual(planned(planAt(seconds)), []),
);

Then(
  "{string} is checked at {float} s as silent, if the rate of such checks allows it",
  (id: string, seconds: number) => {
    assert.deepEqual(planned(planAt(seconds), "silent"), [id]);
    assert.deepEqual(planned(planAt(seconds, false)), []);
  },
);

Then(
  /^(.+) are checked at (\S+) s as (suspected|again)$/,
  (ids: string, seconds: string, reason: string) =>
    assert.deepEqual(
      planned(planAt(Number(seconds)), reason),
      idsIn(ids).sort(),
    ),
);

Then(
  "no check but of {string} is planned at {float} s",
  (id: string, seconds: number) => {
    const others = planned(planAt(seconds)).filter((other) => other !== id);
    assert.deepEqual(others, []);
  },
);

Then(
  "at most {int} check of unreachable targets is planned at {float} s",
  (most: number, seconds: number) =>
    assert.ok(planned(planAt(seconds), "again").length <= most),
);

Then(
  /^"(\w+)" is (unreachable|reachable)$/,
  (id: string, expected: string) =>
    assert.equal(targetOf(id).isUnreachable, expected === "unreachable"),
);

function cutOffAt(seconds: number): TargetState[] {
  const targets = [...states.values()].map(({ target }) => target);
  return findCutOffTargets(targets, seconds * 1000);
}

When("this entry is cut off at {float} s", (seconds: number) => {
  for (const target of cutOffAt(seconds)) target.presumeUnreachable();
});

Then(
  /^this entry is cut off from (.+) at (\S+) s$/,
  (ids: string, seconds: string) =>
    assert.deepEqual(
      cutOffAt(Number(seconds)).map(({ record }) => record.id).sort(),
      idsIn(ids).sort(),
    ),
);

Then(
  "this entry is not cut off at {float} s",
  (seconds: number) => assert.deepEqual(cutOffAt(seconds), []),
);

Then(
  "{string} is not cold at {float} s",
  (id: string, seconds: number) =>
    assert.equal(targetOf(id).isCold(seconds * 1000), false),
);

let members: MemberView;
let forwarded: Record<string, number> = {};

function peerMembers(): Member[] {
  return members.serving(0);
}

function choose(options: Partial<PeerChoice> = {}): string | undefined {
  return choosePeer(peerMembers(), {
    self: { dataCentre: "a", region: "r1" },
    service: "s",
    allowedRegions: [],
    exclude: new Set(),
    forwardedTo: (id) => forwarded[id] ?? 0,
    random: 0,
    ...options,
  })?.id;
}

function hear(dataCentre: string, unreachableServices: string[]): void {
  members.applyHeartbeat({
    id: dataCentre,
    incarnation: 1,
    dataCentre,
    region: dataCentre === "x" ? "r2" : "r1",
    callerAddress: `${dataCentre}:1`,
    peerAddress: `${dataCentre}:2`,
    stateAddress: `${dataCentre}:3`,
  }, {
    serving: true,
    reachesStore: true,
    inFlight: new Map(),
    unreachableServices,
  }, 0);
}

Given(
  "entries in data centres {string}, {string} of the same region, and {string} of another one",
  (first: string, second: string, third: string) => {
    members = new MemberView();
    forwarded = {};
    for (const dataCentre of [first, second, third]) hear(dataCentre, []);
  },
);

When(
  /^this entry has (\d+), (\d+), (\d+) requests under way at those entries$/,
  (a: string, a2: string, x: string) => {
    forwarded = { a: Number(a), a2: Number(a2), x: Number(x) };
  },
);

When(
  "the entry in {string} reaches no target of {string}",
  (dataCentre: string, service: string) => hear(dataCentre, [service]),
);

Then(
  "the next request for {string} goes to the entry in {string}",
  (service: string, dataCentre: string) =>
    assert.equal(choose({ service }), dataCentre),
);

Then(
  "after that one refused it, to the entry in {string}",
  (dataCentre: string) =>
    assert.equal(choose({ exclude: new Set(["a2"]) }), dataCentre),
);

Then(
  "if only the own region may run it, to none",
  () =>
    assert.equal(
      choose({ exclude: new Set(["a2"]), allowedRegions: ["r1"] }),
      undefined,
    ),
);
