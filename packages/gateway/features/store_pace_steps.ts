/**
 * Steps for the number of calls to the store.
 */
import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import {
  type StateStore,
  StateTable,
  type WatchResult,
} from "@bamboolane/gateway/state_store";
import { TableFollower } from "@bamboolane/gateway/table_follower";
import { createLogger, type EventLog } from "@bamboolane/logger/create_logger";
import { pause } from "./support/scenario.ts";
import { until } from "./support/test_gateway.ts";

/** Time that a call of the store takes. */
const CALL_MILLIS = 1;

let watches = 0;
/** Milliseconds from the end of each watch to the start of the next one. */
let betweenMillis: number[] = [];
/** Version that the store's reads give. */
let readVersion = 10;
/** Number of reads that gave an older version than the first. */
let staleReads = 0;
/** What watches end with in place of the store's result. */
let laterResult: WatchResult | undefined;
let logText = "";
let log: EventLog;
let follower: TableFollower | undefined;

After(() => {
  follower?.stop();
  follower = undefined;
});

function createStore(
  result: WatchResult,
  { holdMillis }: { holdMillis: number },
): StateStore {
  let endedAtMillis: number | undefined;
  return {
    read: async () => {
      await pause(CALL_MILLIS);
      if (readVersion < 10) staleReads++;
      return { rows: [], version: readVersion };
    },
    watch: async () => {
      watches++;
      if (endedAtMillis !== undefined) {
        betweenMillis.push(performance.now() - endedAtMillis);
      }
      await pause(holdMillis);
      endedAtMillis = performance.now();
      return laterResult ?? result;
    },
    register: () => Promise.resolve(),
    unregister: () => Promise.resolve(),
    close: () => {},
  };
}

/** What a watch without changes ends with. */
const RESULTS: Readonly<Record<"no changes" | "a gap", WatchResult>> = {
  "no changes": { kind: "changes", rows: [], version: 10 },
  "a gap": { kind: "gap" },
};

function follow(store: StateStore): void {
  watches = 0;
  betweenMillis = [];
  readVersion = 10;
  staleReads = 0;
  laterResult = undefined;
  logText = "";
  log = createLogger({
    level: "info",
    write: (text) => {
      logText += text;
    },
  });
  follower = new TableFollower({
    store,
    table: StateTable.targets,
    sink: {
      onSnapshot: () => {},
      onChanges: () => {},
      onReachabilityChange: () => {},
    },
    log,
    isFollower: () => true,
    random: Math.random,
  });
  follower.start();
}

Given(
  "an entry that follows a store whose watches end at once with {}",
  (result: "no changes" | "a gap") =>
    follow(createStore(RESULTS[result], { holdMillis: CALL_MILLIS })),
);

Given(
  "an entry that follows a store that holds each watch for {int} ms",
  (holdMillis: number) =>
    follow(createStore(RESULTS["no changes"], { holdMillis })),
);

Given(
  "an entry that follows a store that holds each watch for {int} ms and then has a gap",
  (holdMillis: number) => follow(createStore(RESULTS["a gap"], { holdMillis })),
);

Then(
  "it starts at most {int} watches of a table in {int} s",
  async (max: number, seconds: number) => {
    await pause(seconds * 1000);
    assert.ok(watches <= max, `${watches} watches`);
  },
);

Then(
  "the shortest time between two watches is below {int} ms after {int} of them",
  async (maxMillis: number, count: number) => {
    await until(
      () => betweenMillis.length >= count,
      `${count} watches followed another one`,
    );
    assert.ok(
      Math.min(...betweenMillis) < maxMillis,
      `milliseconds between watches: ${betweenMillis.map(Math.round)}`,
    );
  },
);

When(
  "the store has history again after {int} gaps",
  async (gaps: number) => {
    await until(() => watches >= gaps, `${gaps} watches`);
    laterResult = RESULTS["no changes"];
    const before = watches;
    await until(() => watches > before + 1, "two more watches");
  },
);

When(
  "the store gives {int} reads of an older version",
  async (reads: number) => {
    await until(() => watches >= 1, "a watch");
    readVersion = 9;
    await until(() => staleReads > reads, `more than ${reads} stale reads`);
  },
);

Then(
  /^the log has (\d+) lines? "(\w+)" and (\d+) lines? "(\w+)"$/,
  (count: string, event: string, otherCount: string, other: string) => {
    log.flush();
    const countOf = (name: string) =>
      logText.split("\n").filter((line) => line.includes(`event=${name} `))
        .length;
    assert.deepEqual([countOf(event), countOf(other)], [
      Number(count),
      Number(otherCount),
    ], logText);
  },
);
