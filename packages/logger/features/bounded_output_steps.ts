/**
 * Steps for the bounded output.
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { BoundedOutput } from "@bamboolane/logger/bounded_output";
import { createLogger, type EventLog } from "@bamboolane/logger/create_logger";
import { parseLine } from "@bamboolane/logger/parse_line";

let output: BoundedOutput;
let received = "";
let completeWrite: (() => void) | undefined;

Given("an output whose reader stops", () => {
  received = "";
  output = new BoundedOutput((bytes, done) => {
    completeWrite = () => {
      received += Buffer.from(bytes).toString();
      done(null, bytes.byteLength);
    };
  });
});

Given("an output that accepts {int} bytes at a time", (size: number) => {
  received = "";
  output = new BoundedOutput((bytes, done) => {
    const written = bytes.subarray(0, size);
    received += Buffer.from(written).toString();
    setImmediate(() => done(null, written.byteLength));
  });
});

When("{int} lines are written", (count: number) => {
  for (let i = 0; i < count; i++) {
    output.add(`line ${i} ${"x".repeat(80)}\n`);
  }
});

Then("no write blocked, and lines were dropped and counted", () => {
  assert.ok(output.droppedLines > 10_000, `${output.droppedLines}`);
});

Then(
  "once the reader resumes, an event reports the number of dropped lines",
  () => {
    const dropped = output.droppedLines;
    for (let i = 0; i < 20_000; i++) completeWrite?.();
    output.add("after\n");
    for (let i = 0; i < 10; i++) completeWrite?.();
    assert.ok(received.includes(`event=log_lines_dropped lines=${dropped}\n`));
    assert.ok(received.endsWith("after\n"));
  },
);

Then("all {int} lines arrive in order", async (count: number) => {
  while (!received.includes(`line ${count - 1} ${"x".repeat(80)}\n`)) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  const numbers = [...received.matchAll(/line (\d+) /g)].map(([, n]) => +n);
  assert.deepEqual(numbers, Array.from({ length: count }, (_, i) => i));
});

let log: EventLog;
let written: string[] = [];

Given("a log whose lines are counted as they are written", () => {
  written = [];
  log = createLogger({ level: "info", write: (text) => written.push(text) });
});

When(
  "{int} events with a value of {int} KB are logged",
  (count: number, kilobytes: number) => {
    // Quotes take two characters each.
    const value = '"x'.repeat(kilobytes * 512);
    for (let i = 0; i < count; i++) log.info("request", { request: value });
    log.flush();
  },
);

Then(
  "each line has less than {int} characters and a start of its value",
  (max: number) => {
    const lines = written.join("").trimEnd().split("\n");
    for (const line of lines) {
      assert.ok(line.length < max, `${line.length} characters`);
      assert.ok(parseLine(line)?.fields.get("request")?.startsWith('"x"x"x'));
    }
  },
);

Then("at most {int} characters waited for a write", (max: number) => {
  const longest = Math.max(...written.map((text) => text.length));
  assert.ok(longest <= max, `${longest} characters`);
});

Then(
  "the line parses, and its value says that it had {int} characters",
  (length: number) => {
    const value = parseLine(written.join(""))?.fields.get("request");
    assert.match(value ?? "", new RegExp(`\\(${length} characters\\)$`));
  },
);
