/**
 * Steps for answers to look-ups, without sockets.
 */
import assert from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import type { EntryContext } from "@bamboolane/entry/context";
import {
  LookupHandler,
  type LookupHandlerOptions,
} from "@bamboolane/entry/lookup_handler";
import { SteeringState } from "@bamboolane/entry/steering_state";
import { buildBlockIndex } from "@bamboolane/locate/block_index";
import { FakeClock } from "@bamboolane/test-utils/fake_clock";
import { sampleFleet } from "@bamboolane/test-utils/sample_fleet";

const DAY_MILLIS = 86_400_000;

let handler: LookupHandler;
let clock: FakeClock;

Given(
  "an exception until {string} that sets look-ups' time to live to {int} seconds",
  (until: string, lookupTtlSeconds: number) => {
    clock = new FakeClock();
    const fleet = sampleFleet({
      overrides: {
        exceptions: [{
          id: "x",
          match: { member: "m1" },
          change: { lookupTtlSeconds },
          owner: "ops",
          reason: "a planned evacuation",
          until,
        }],
      },
    });
    const state = new SteeringState({
      revision: 1,
      fleet,
      blocks: buildBlockIndex([]),
      dataCentre: "a1",
    });
    handler = new LookupHandler({
      context: { clock } as unknown as EntryContext,
      state: () => state,
      table: { membershipVersion: 1, live: () => [] } as unknown as (
        LookupHandlerOptions["table"]
      ),
      unreachable: () => new Set(),
    });
  },
);

function lookUpTtlSeconds(): number {
  const query = { member: "m1", service: "s1", client: "10.1.0.1" };
  const { answer } = handler.find(query);
  return (JSON.parse(answer.body.toString()) as { ttlSeconds: number })
    .ttlSeconds;
}

Then(
  "a look-up on that day has a time to live of {int} seconds",
  (seconds: number) => assert.equal(lookUpTtlSeconds(), seconds),
);

Then(
  "a look-up on the day after has a time to live of {int} second",
  (seconds: number) => {
    clock.advance(DAY_MILLIS);
    assert.equal(lookUpTtlSeconds(), seconds);
  },
);
