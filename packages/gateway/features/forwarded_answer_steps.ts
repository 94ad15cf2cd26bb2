/**
 * Steps for entries without links to targets, and for stand-ins of the entries that
 * they forward to.
 */
import assert from "node:assert/strict";
import { After, Given, Then } from "@cucumber/cucumber";
import { RESULT_HEADER } from "@bamboolane/gateway/forwarding_headers";
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
