/**
 * Steps for what the system holds for a process that has not read it.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import process from "node:process";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { isRefusal } from "./memory_limit_steps.ts";
import {
  announcesClose,
  answersOf,
  connectTo,
  raw,
  send,
  statusOf,
} from "./support/raw_caller.ts";
import { gatewayOf, pause, world } from "./support/scenario.ts";
import { until } from "./support/test_gateway.ts";

const BYTES_PER_KILOBYTE = 1000;
/** Resident memory of the tests' process, so that its share of a limit is known. */
const BALLAST_BYTES = 150_000_000;
/** Memory of an entry beside the resident one, which may shrink. */
const ENTRY_MEMORY_SHARE = 0.65;
/** Part of an entry's memory that it may take with what is not read. */
const TOTAL_SHARE = 0.9;
/** Time in which an entry has looked at its resident memory. */
const MONITOR_MILLIS = 400;

/** What keeps the resident memory up. */
const ballast: Buffer[] = [];

Given(
  "an entry {string} whose process takes more than all of its memory",
  async (id: string) => {
    ballast.push(Buffer.alloc(BALLAST_BYTES, "b"));
    const memoryBytes = process.memoryUsage.rss() * ENTRY_MEMORY_SHARE;
    await world.system.addEntry(id, { memoryBytes });
    await pause(MONITOR_MILLIS);
  },
);

Given(
  "an entry {string} whose process may take {int} kB more",
  (id: string, kilobytes: number) => {
    const residentBytes = process.memoryUsage.rss();
    const memoryBytes = (residentBytes + kilobytes * BYTES_PER_KILOBYTE) /
      TOTAL_SHARE;
    return world.system.addEntry(id, { memoryBytes });
  },
);

When(
  "the process takes so much more that {string} has no room beside it",
  async (entry: string) => {
    const { memory } = gatewayOf(entry);
    do {
      ballast.push(Buffer.alloc(BALLAST_BYTES, "b"));
      await pause(MONITOR_MILLIS);
    } while (memory.residentBytes < memory.limits.totalBytes);
  },
);

When(
  "each of them gets {string}, one after another",
  async (path: string) => {
    for (const caller of raw.callers) {
      send(caller, path);
      await until(() => answersOf(caller).length === 2, "it has an answer");
    }
  },
);

After(() => {
  ballast.length = 0;
});

When(
  "{int} callers connect to {string} and leave, one after another",
  async (count: number, entry: string) => {
    for (let i = 0; i < count; i++) {
      const { socket } = connectTo(entry);
      await once(socket, "connect");
      socket.resetAndDestroy();
    }
  },
);

Then("some of them are refused for lack of memory", async () => {
  await until(
    () =>
      raw.callers.some(({ text }) =>
        isRefusal(text) && text.endsWith("\r\n\r\nno-memory\n")
      ),
    "a caller is refused",
  );
});

Then(
  "at most {int} of their connections stay open, the others were closed by an answer",
  (count: number) => {
    assert.ok(raw.callers.length > count);
    const open = raw.callers.filter((caller) => !caller.closed);
    assert.ok(open.length <= count, `${open.length}`);
    for (const caller of raw.callers) {
      const [answer] = answersOf(caller);
      assert.equal(statusOf(answer), 200);
      assert.equal(announcesClose(answer), caller.closed);
    }
  },
);

Then(
  "some of their connections stay open, the others were closed without another answer",
  () => {
    const open = raw.callers.filter((caller) => !caller.closed);
    assert.ok(open.length > 0 && open.length < raw.callers.length);
    for (const caller of raw.callers) {
      const answers = answersOf(caller);
      assert.equal(answers.length, 1);
      assert.equal(announcesClose(answers[0]), false);
    }
  },
);

Then(
  "at most {int} of their connections stay open, the others were closed by their last answer",
  (count: number) => {
    const open = raw.callers.filter((caller) => !caller.closed);
    assert.ok(open.length <= count, `${open.length}`);
    for (const caller of raw.callers) {
      const last = answersOf(caller).at(-1);
      assert.equal(announcesClose(last), caller.closed);
    }
  },
);

Then(
  "after {int} ms at least {int} kB count as not read by {string}",
  async (millis: number, kilobytes: number, entry: string) => {
    await pause(millis);
    const { unreadBytes } = gatewayOf(entry).memory;
    assert.ok(unreadBytes >= kilobytes * BYTES_PER_KILOBYTE, `${unreadBytes}`);
  },
);

Then("nothing counts as not read by {string}", (entry: string) => {
  const { memory } = gatewayOf(entry);
  return until(() => memory.unreadBytes === 0, "all is returned");
});
