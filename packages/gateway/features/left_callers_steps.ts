/**
 * Steps for callers that leave while an entry pauses the reading of its callers.
 */
import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import {
  connectTo,
  raw,
  type RawCaller,
  send,
  untilAnswered,
} from "./support/raw_caller.ts";
import { pause, world } from "./support/scenario.ts";
import { slowDownTurns } from "./support/slow_turns.ts";

/** The start of a process counts as a stall, which has to be over. */
const START_STALL_MILLIS = 1200;
/** Time in which what is left is sent. */
const SETTLE_MILLIS = 500;

/** The steps take some seconds of processor time. */
const STEP_TIMEOUT_MILLIS = 20_000;

/** Ids of the requests whose callers have left. */
let leftIds: string[] = [];
/** When they left, on the log's clock. */
let leftAtMillis = 0;

/** Callers with a connection that has served a request. */
async function connectKept(
  entry: string,
  count: number,
): Promise<RawCaller[]> {
  const callers = Array.from({ length: count }, () => connectTo(entry));
  for (const caller of callers) send(caller, "/read/x");
  await untilAnswered(callers, 1);
  return callers;
}

function leave(caller: RawCaller): void {
  leftIds.push(caller.sentIds[caller.sentIds.length - 1]);
  caller.socket.end();
}

const endTurn = () => new Promise((resolve) => setImmediate(resolve));

When(
  "{int} callers of {string} send a request and leave, one in each turn, while others connect and turns take {int} ms",
  { timeout: STEP_TIMEOUT_MILLIS },
  async (count: number, entry: string, turnMillis: number) => {
    leftIds = [];
    const callers = await connectKept(entry, count);
    await pause(START_STALL_MILLIS);
    const slowTurns = slowDownTurns(turnMillis);
    for (const caller of callers) {
      send(caller, "/read/x");
      raw.callers.push(connectTo(entry));
      leave(caller);
      await endTurn();
    }
    slowTurns.stop();
    await pause(SETTLE_MILLIS);
    for (const { socket } of raw.callers) socket.destroy();
  },
);

/** Path without a route: requests for it are read, and reach no target. */
const UNKNOWN_PATH = "/unknown/x";
const TINY_CHUNKS = "1\r\nx\r\n".repeat(4000) + "0\r\n\r\n";
const QUEUE_MILLIS = 300;
const MAX_LATE_MILLIS = 500;

/** Callers whose requests take long to read send one after another. */
function pressReading(entry: string, count: number): { stop: () => void } {
  const callers = Array.from({ length: count }, () => connectTo(entry));
  const sendNext = (caller: RawCaller) =>
    send(caller, UNKNOWN_PATH, {
      method: "POST",
      headers: "Transfer-Encoding: chunked\r\n",
      body: TINY_CHUNKS,
    });
  for (const caller of callers) {
    sendNext(caller);
    caller.socket.on("data", () => sendNext(caller));
  }
  return {
    stop: () => callers.forEach(({ socket }) => socket.destroy()),
  };
}

When(
  "{int} callers of {string} that pipeline {int} requests each are queued and leave, while requests of {int} others take long to read and turns take {int} ms",
  { timeout: STEP_TIMEOUT_MILLIS },
  async (
    count: number,
    entry: string,
    requestCount: number,
    otherCount: number,
    turnMillis: number,
  ) => {
    leftIds = [];
    const callers = await connectKept(entry, count);
    await pause(START_STALL_MILLIS);
    const pressure = pressReading(entry, otherCount);
    const slowTurns = slowDownTurns(turnMillis);
    for (const caller of callers) {
      for (let i = 0; i < requestCount; i++) {
        send(caller, "/batch/x", {
          method: "POST",
          headers: "Content-Length: 0\r\n",
        });
      }
    }
    await pause(QUEUE_MILLIS);
    leftAtMillis = Date.now();
    for (const caller of callers) {
      leftIds.push(...caller.sentIds);
      caller.socket.end();
    }
    await pause(4 * MAX_LATE_MILLIS);
    pressure.stop();
    slowTurns.stop();
    await pause(SETTLE_MILLIS);
  },
);

Then(
  "no target was sent a request over {int} ms after its caller had left",
  (maxMillis: number) => {
    const lines = world.system.logText.split("\n").filter((line) =>
      line.includes("event=send ")
    );
    const late = lines.flatMap((line) => {
      const id = / request=(\S+)/.exec(line)?.[1] ?? "";
      const sentAtMillis = Date.parse(/^time=(\S+)/.exec(line)?.[1] ?? "");
      const lateMillis = sentAtMillis - leftAtMillis;
      return leftIds.includes(id) && lateMillis > maxMillis
        ? [`${id}: ${lateMillis} ms`]
        : [];
    });
    assert.deepEqual(late, []);
    assert.ok(leftIds.length > 0, "callers left");
  },
);

Then("no target received a request of a caller that had left", () => {
  const received = [...world.system.targets.values()].flatMap((target) =>
    target.received.map(({ headers }) => String(headers["test-request"]))
  );
  assert.deepEqual(leftIds.filter((id) => received.includes(id)), []);
  assert.ok(leftIds.length > 0, "callers left");
});
