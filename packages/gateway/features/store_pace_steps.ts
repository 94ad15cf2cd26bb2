/**
 * Steps for the number of calls to the store.
 */
import assert from "node:assert/strict";
import { After, Given, Then } from "@cucumber/cucumber";
import {
  type StateStore,
  StateTable,
  type WatchResult,
} from "@bamboolane/gateway/state_store";
import { TableFollower } from "@bamboolane/gateway/table_follower";
import { createNoopLogger } from "@bamboolane/logger/create_logger";
import { pause } from "./support/scenario.ts";

/** Time that a call of the store takes. */
const CALL_MILLIS = 1;
const WATCH_MILLIS = 900;

/** What a watch ends with. */
const RESULTS: Readonly<Record<string, WatchResult>> = {
  "no changes": { kind: "changes", rows: [], version: 10 },
  "a gap": { kind: "gap" },
};

let watches = 0;
let follower: TableFollower | undefined;

After(() => {
  follower?.stop();
  follower = undefined;
});

function createStore(result: WatchResult): StateStore {
  return {
    read: async () => {
      await pause(CALL_MILLIS);
      return { rows: [], version: 10 };
    },
    watch: async () => {
      watches++;
      await pause(CALL_MILLIS);
      return result;
    },
    register: () => Promise.resolve(),
    unregister: () => Promise.resolve(),
    close: () => {},
  };
}

Given(
  "an entry that follows a store whose watches end at once with {}",
  (result: string) => {
    watches = 0;
    follower = new TableFollower({
      store: createStore(RESULTS[result]),
      table: StateTable.targets,
      sink: {
        onSnapshot: () => {},
        onChanges: () => {},
        onReachabilityChange: () => {},
      },
      log: createNoopLogger(),
      isFollower: () => true,
      watchMillis: WATCH_MILLIS,
      random: Math.random,
    });
    follower.start();
  },
);

Then(
  "it starts at most {int} watches of a table in {int} s",
  async (max: number, seconds: number) => {
    await pause(seconds * 1000);
    assert.ok(watches <= max, `${watches} watches`);
  },
);
