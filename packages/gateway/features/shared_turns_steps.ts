/**
 * Steps for many peers that want something of an entry at the same time.
 */
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { STATE_PATH } from "@bamboolane/gateway/directory_server";
import type { GatewaySettings } from "@bamboolane/gateway/gateway_settings";
import { gatewayOf, pause, world } from "./support/scenario.ts";
import { slowDownTurns } from "./support/slow_turns.ts";
import { testDialect, until } from "./support/test_gateway.ts";

type Listener = keyof GatewaySettings["listen"];

const PATHS: Record<Listener, string> = {
  // Without a route, no target is asked.
  callers: "/unknown/x",
  peers: "/unknown/x",
  readiness: testDialect.readinessPath,
  directory: `${testDialect.directoryPath}?region=a&place=a1`,
  state: `${STATE_PATH}?operator=0&targets=0`,
  metrics: "/metrics",
};
const HOST_LINE = "Host: test.example\r\n";
const CHUNKS_OF_ONE_BYTE = Buffer.from("1\r\nx\r\n".repeat(60_000));
/** Takes some milliseconds to parse. */
const SOME_CHUNKS_OF_ONE_BYTE = "1\r\nx\r\n".repeat(10_000);
/** Time until callers are read without a break. */
const LOAD_MILLIS = 300;
const GIVE_UP_MILLIS = 5000;
const LEAVE_INTERVAL_MILLIS = 10;
/** Turns while an entry accepts others, one in each of them. */
const ACCEPT_TURN_MILLIS = 10;
/** Time for a pause, and for the next one. */
const PAUSES_MILLIS = [50, 250];
/** Others for which two pauses have no time. */
const OTHER_COUNT = 60;
/** Time until a new connection is accepted. */
const ACCEPTED_MILLIS = 100;
/** Time until requests of callers that left would have reached a target. */
const LEFT_MILLIS = 1000;

let nextId = 0;
let sockets: Socket[] = [];
/** What each request got: its status, or 0 without an answer, and the time that took. */
let results: { status: number; tookMillis: number }[] = [];
/** Requests that the targets received until the end of the second pause. */
let receivedInPauses = 0;

After(() => {
  for (const socket of sockets) socket.destroy();
  sockets = [];
  results = [];
});

function open(entry: string, listener: Listener): Socket {
  const [host, port] = world.system.settings(entry).listen[listener].split(":");
  const socket = connect({ host, port: Number(port) });
  socket.on("error", () => {});
  sockets.push(socket);
  return socket;
}

function formatLines(): string {
  return `${HOST_LINE}Test-Request: shared-${nextId++}\r\n`;
}

function formatGet(path: string): string {
  return `GET ${path} HTTP/1.1\r\n${formatLines()}\r\n`;
}

function formatPost(bodyBytes: number): string {
  return `POST /batch/x HTTP/1.1\r\n${formatLines()}` +
    `Content-Length: ${bodyBytes}\r\n\r\n${"x".repeat(bodyBytes)}`;
}

/** Sends one request, behind an answer to the one before; records its result. */
async function ask(socket: Socket, content: string): Promise<void> {
  const sentAtMillis = performance.now();
  socket.write(content);
  const status = await Promise.race([
    new Promise<number>((resolve) => {
      socket.once("data", (chunk) => resolve(Number(`${chunk}`.slice(9, 12))));
    }),
    pause(GIVE_UP_MILLIS).then(() => 0),
  ]);
  results.push({ status, tookMillis: performance.now() - sentAtMillis });
}

Given("an entry {string} that lists itself", async (id: string) => {
  await world.system.addEntry(id);
  await until(
    async () => (await world.system.listedAddresses(id)).length > 0,
    `${id} is listed`,
  );
});

When(
  "{int} callers of {string} send bodies in chunks of one byte",
  async (count: number, entry: string) => {
    for (let i = 0; i < count; i++) {
      const socket = open(entry, "callers");
      socket.write(
        `POST /read/x HTTP/1.1\r\n${HOST_LINE}Transfer-Encoding: chunked\r\n\r\n`,
      );
      socket.write(CHUNKS_OF_ONE_BYTE);
    }
    await pause(LOAD_MILLIS);
  },
);

When(
  "{int} clients connect to the {word} listener of {string} at the same time",
  { timeout: 2 * GIVE_UP_MILLIS },
  async (count: number, listener: Listener, entry: string) => {
    await Promise.all(
      Array.from(
        { length: count },
        () => ask(open(entry, listener), formatGet(PATHS[listener])),
      ),
    );
  },
);

When(
  "a caller of {string} sends {int} bodies of {int} kB",
  { timeout: 60_000 },
  async (entry: string, count: number, kilobytes: number) => {
    const caller = open(entry, "callers");
    for (let i = 0; i < count; i++) {
      await ask(caller, formatPost(kilobytes * 1000));
    }
  },
);

When(
  "{int} callers of {string} send a request each and leave",
  { timeout: 30_000 },
  async (count: number, entry: string) => {
    for (let i = 0; i < count; i++) {
      const socket = open(entry, "callers");
      socket.end(formatGet("/read/left"));
      await pause(LEAVE_INTERVAL_MILLIS);
    }
    await pause(LEFT_MILLIS);
  },
);

Then("{string} received none of their requests", (id: string) => {
  const received = world.system.targets.get(id)?.received ?? [];
  const left = received.filter(({ path }) => path === "/read/left");
  assert.equal(left.length, 0);
});

When(
  "{int} clients of {string} look up entries without a break, turns of the event loop take {int} ms, and a caller sends {int} requests",
  { timeout: 60_000 },
  async (
    clients: number,
    entry: string,
    turnMillis: number,
    requests: number,
  ) => {
    const lookup = formatGet(PATHS.directory);
    for (let i = 0; i < clients; i++) {
      const socket = open(entry, "directory");
      socket.on("data", () => socket.write(lookup));
      socket.write(lookup);
    }
    const caller = open(entry, "callers");
    const slowTurns = slowDownTurns(turnMillis);
    await pause(LOAD_MILLIS);
    for (let i = 0; i < requests; i++) await ask(caller, formatGet("/read/x"));
    slowTurns.stop();
  },
);

Then(
  /^each (?:of these clients|request of this caller) got a (\d+) within (\d+) s$/,
  (wanted: string, seconds: string) => {
    assert.ok(results.length > 0);
    const late = results.filter(({ status, tookMillis }) =>
      status !== Number(wanted) || tookMillis > 1000 * Number(seconds)
    );
    const slowest = Math.max(...results.map(({ tookMillis }) => tookMillis));
    const statuses = [...new Set(results.map(({ status }) => status))];
    assert.equal(
      late.length,
      0,
      `${late.length} of ${results.length}; slowest ${
        Math.round(slowest)
      } ms, ` +
        `statuses ${statuses.join(", ")}`,
    );
  },
);

When(
  "{int} callers of {string} send a request each while it accepts others in two pauses that follow each other",
  { timeout: 30_000 },
  async (count: number, entry: string) => {
    const callers = Array.from(
      { length: count },
      () => open(entry, "callers"),
    );
    await pause(ACCEPTED_MILLIS);
    for (let i = 0; i < OTHER_COUNT; i++) open(entry, "callers");
    const slowTurns = slowDownTurns(ACCEPT_TURN_MILLIS);
    const pauses = PAUSES_MILLIS.map((maxMillis) =>
      gatewayOf(entry).pacer.acceptWaiting({ maxMillis, hasRoom: () => true })
    );
    const answers = callers.map((socket) => ask(socket, formatGet("/read/x")));
    await Promise.all(pauses);
    receivedInPauses = world.system.receivedCount;
    slowTurns.stop();
    await Promise.all(answers);
  },
);

Then(
  "{string} received no request before the second pause ended",
  (_target: string) => {
    assert.equal(receivedInPauses, 0);
  },
);

When(
  "a caller of {string} sends {int} bodies of {int} kB, and a request while {int} new callers send bodies in chunks of one byte",
  { timeout: 60_000 },
  async (
    entry: string,
    count: number,
    kilobytes: number,
    callers: number,
  ) => {
    const kept = open(entry, "callers");
    for (let i = 0; i < count; i++) {
      await ask(kept, formatPost(kilobytes * 1000));
    }
    results = [];
    for (let i = 0; i < callers; i++) {
      open(entry, "callers").write(
        `POST /read/x HTTP/1.1\r\n${HOST_LINE}Transfer-Encoding: chunked\r\n\r\n` +
          SOME_CHUNKS_OF_ONE_BYTE,
      );
    }
    await pause(ACCEPTED_MILLIS);
    await ask(kept, formatGet("/read/x"));
  },
);

Then("each of these callers got an answer", () => {
  assert.ok(results.length > 0);
  assert.ok(results.every(({ status }) => status > 0));
});
