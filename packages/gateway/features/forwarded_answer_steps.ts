/**
 * Steps for entries without links to targets, and for stand-ins of the entries that
 * they forward to.
 */
import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { request } from "undici";
import {
  FORWARDED_HEADER,
  RESULT_HEADER,
} from "@bamboolane/gateway/forwarding_headers";
import {
  type ScriptedTarget,
  startScriptedTarget,
} from "@bamboolane/standins/scripted_target";
import { reserveAddress } from "@bamboolane/test-utils/loopback_address";
import { createCopyingScript } from "./support/copying_target.ts";
import { gatewayOf, world } from "./support/scenario.ts";

const HEARTBEAT_INTERVAL_MILLIS = 200;

let standin: ScriptedTarget | undefined;
let heartbeatTimer: NodeJS.Timeout | undefined;

After(async () => {
  clearInterval(heartbeatTimer);
  await standin?.close();
  standin = undefined;
});

Given(
  "an entry {string} without links to {string}",
  (entry: string, target: string) => {
    const { store, targets } = world.system;
    const { address } = targets.get(target) as ScriptedTarget;
    store.setLink(entry, address, reserveAddress());
    return world.system.addEntry(entry);
  },
);

Given(
  "a stand-in for an entry {string} that refuses each request once, and then sends a copy before the next answer",
  async (id: string) => {
    const { address } = standin = await startScriptedTarget({
      script: createCopyingScript({
        status: 503,
        moment: "before the next answer",
        headers: { [RESULT_HEADER]: "refused" },
      }),
    });
    const record = {
      id,
      incarnation: Date.now(),
      dataCentre: "a1",
      region: "a",
      callerAddress: address,
      peerAddress: address,
      stateAddress: address,
    };
    const state = { serving: true, reachesStore: true, inFlight: new Map() };
    heartbeatTimer = setInterval(() => {
      for (const entry of world.system.entries.keys()) {
        const { members } = gatewayOf(entry).state;
        members.applyHeartbeat(record, state, performance.now());
      }
    }, HEARTBEAT_INTERVAL_MILLIS);
  },
);

Then("each of them reached {string} once", (id: string) => {
  const { received } = world.system.targets.get(id) as ScriptedTarget;
  const ids = received.map(({ headers }) => headers["test-request"]);
  assert.equal(new Set(ids).size, ids.length, `reached twice: ${ids}`);
});

Then(
  "the stand-in was told revision {int} with each request",
  (revision: number) => {
    const told = (standin as ScriptedTarget).received.map(({ headers }) =>
      headers["bamboolane-revision"]
    );
    assert.ok(told.length > 0);
    assert.deepEqual(new Set(told), new Set([String(revision)]));
  },
);

let forwardedStatus: number;

When(
  /^a request to "(.*)" that was matched by (no revision|revision \d+) is forwarded to "(.*)"$/,
  async (path: string, matchedBy: string, entry: string) => {
    const { peers } = world.system.settings(entry).listen;
    const answer = await request(`http://${peers}${path}`, {
      headers: {
        host: "test.example",
        "test-request": "forwarded",
        "test-deadline": "1500",
        [FORWARDED_HEADER]: "0, 0",
        ...(matchedBy === "no revision"
          ? {}
          : { "bamboolane-revision": matchedBy.slice("revision ".length) }),
      },
    });
    await answer.body.dump();
    forwardedStatus = answer.statusCode;
    assert.equal(
      answer.headers[RESULT_HEADER],
      forwardedStatus === 503 ? "refused" : undefined,
    );
  },
);

Then(
  "the forwarded request is answered {int} and reached {string} {int} times",
  (status: number, target: string, times: number) => {
    assert.equal(forwardedStatus, status);
    const { received } = world.system.targets.get(target) as ScriptedTarget;
    assert.equal(received.length, times);
    const told = received.map(({ headers }) => headers["bamboolane-revision"]);
    assert.deepEqual(told.filter((text) => text !== undefined), []);
  },
);
