/**
 * Steps that trace single requests through the entries' logs.
 */
import assert from "node:assert/strict";
import { Then } from "@cucumber/cucumber";
import {
  formatTimeline,
  joinTimeline,
  type TimelineEntry,
} from "@bamboolane/cli/commands/trace/join_timeline";
import { type LogLine, parseLine } from "@bamboolane/logger/parse_line";
import { lastReply, world } from "./support/scenario.ts";
import { until } from "./support/test_gateway.ts";

function logLines(): LogLine[] {
  return world.system.logText.split("\n")
    .map((text) => parseLine(text))
    .filter((line) => line !== undefined);
}

/** The trace of the last request, once its outcome was logged. */
async function lastTrace(): Promise<TimelineEntry[]> {
  const id = String(lastReply().headers["sent-id"]);
  const ended = () =>
    logLines().some(({ event, fields }) =>
      event === "request" && fields.get("request") === id
    );
  await until(ended, `the end of ${id} is logged`);
  return joinTimeline(logLines(), id);
}

Then(
  "the trace of the last request shows {string} before {string}",
  async (first: string, second: string) => {
    const text = formatTimeline(await lastTrace());
    const [a, b] = [text.indexOf(first), text.indexOf(second)];
    assert.ok(a >= 0 && b > a, text);
  },
);

Then(
  "the trace of the last request shows {string} in {string}",
  async (part: string, line: string) => {
    const text = formatTimeline(await lastTrace());
    const found = text.split("\n").find((row) => row.includes(line));
    assert.ok(found?.includes(part), text);
  },
);

Then(
  "the trace of the last request shows an expected time below {int} ms and an actual time of at least that",
  async (millis: number) => {
    const trace = await lastTrace();
    const send = trace.find(({ line }) => line.event === "send")?.line;
    const end = trace.find(({ line }) => line.event === "request")?.line;
    assert.ok(Number(send?.fields.get("expectedMillis")) < millis);
    assert.ok(Number(end?.fields.get("tookMillis")) >= millis);
    assert.equal(end?.fields.get("target"), send?.fields.get("target"));
  },
);

Then(
  "the trace of the last request has {int} lines of its own",
  async (count: number) => {
    const own = (await lastTrace()).filter((entry) => entry.own);
    assert.deepEqual(
      own.map(({ line }) => line.event),
      ["send", "request"].slice(0, count),
    );
  },
);

Then("a request without log lines has an empty trace", () => {
  assert.deepEqual(joinTimeline(logLines(), "nobody"), []);
});
