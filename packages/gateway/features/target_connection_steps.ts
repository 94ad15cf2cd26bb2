/**
 * Steps for the choice among connections to a target; nothing is sent on them.
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { AnswerPacer } from "@bamboolane/gateway/answer_pacer";
import { DescriptorBudget } from "@bamboolane/gateway/descriptor_budget";
import { MemoryBudget } from "@bamboolane/gateway/memory_budget";
import { planMemory } from "@bamboolane/gateway/memory_monitor";
import {
  type TargetConnection,
  TargetConnections,
} from "@bamboolane/gateway/target_connections";

/** Nothing listens there, and nothing is sent. */
const ADDRESS = "127.0.0.1:9";
const OPTIONS = {
  descriptors: new DescriptorBudget(Infinity),
  pacer: new AnswerPacer({
    memory: new MemoryBudget({ limits: planMemory() }),
  }),
  onConnected: () => {},
};

let connections: TargetConnections;
/** Connections in the order of their first use. */
let known: TargetConnection[];
/** Numbers of the connections that were used, from 1. */
let used: number[];
let nowMillis: number;

function begin(id: string): TargetConnection {
  const connection = connections.acquire(id, ++nowMillis);
  connection.connected = true;
  if (!known.includes(connection)) known.push(connection);
  used.push(known.indexOf(connection) + 1);
  return connection;
}

function run(id: string, options: { isRefused?: boolean } = {}): void {
  const connection = begin(id);
  if (options.isRefused) connection.carriedRefusal = true;
  connections.release(connection, ++nowMillis);
}

Given("connections to a target", () => {
  connections = new TargetConnections(ADDRESS, OPTIONS);
  known = [];
  used = [];
  nowMillis = 1000;
});

When("the requests {string} follow one another", (ids: string) => {
  for (const id of ids.split(",")) run(id);
});

When(
  /^(the same request|a request without an id) comes (\d+) times$/,
  (kind: string, count: number) => {
    for (let i = 0; i < count; i++) run(kind === "the same request" ? "a" : "");
  },
);

When(
  "{int} requests with ids of {int} characters follow one another",
  (count: number, length: number) => {
    for (let i = 0; i < count; i++) run(String(i).padStart(length, "0"));
  },
);

When("the requests {string} run side by side", (ids: string) => {
  const running = ids.split(",").map(begin);
  for (const connection of running) {
    connections.release(connection, ++nowMillis);
  }
});

When(
  "the requests {string} run side by side, and {string} is refused",
  (ids: string, refused: string) => {
    const running = ids.split(",").map((id) => ({ id, connection: begin(id) }));
    for (const { id, connection } of running) {
      connection.carriedRefusal = id === refused;
      connections.release(connection, ++nowMillis);
    }
  },
);

When("the request {string} is refused", (id: string) => {
  run(id, { isRefused: true });
});

When("a surplus answer arrives", () => {
  connections.recordSurplusAnswer(nowMillis);
});

When(
  "{int} ms later an idle connection proved dead after {int} ms",
  (pauseMillis: number, idleMillis: number) => {
    nowMillis += pauseMillis;
    const dead = new TargetConnections(ADDRESS, OPTIONS)
      .acquire("dead", nowMillis);
    dead.idleBeforeMillis = idleMillis;
    connections.recordStaleConnection(dead, nowMillis);
    dead.close();
  },
);

Then(
  "they use the connections {string}, of which {int} are open",
  (expected: string, open: number) => {
    assert.equal(used.join(","), expected);
    assert.equal(connections.open, open);
  },
);

Then("they used {int} connections", (count: number) => {
  assert.equal(known.length, count);
});

Then(
  "the next request gets a new connection, and {int} connection is open",
  (open: number) => {
    const before = known.length;
    begin("next");
    assert.equal(known.length, before + 1);
    assert.equal(connections.open, open);
  },
);

Then(/^(\d+) connections? (?:is|are) open$/, (open: number) => {
  assert.equal(connections.open, open);
});
