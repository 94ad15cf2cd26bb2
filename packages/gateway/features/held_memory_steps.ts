/**
 * Steps for what an entry holds for its clients and for other processes.
 */
import assert from "node:assert/strict";
import { createSocket, type Socket as DatagramSocket } from "node:dgram";
import { createServer, type Server } from "node:http";
import { connect, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { request } from "undici";
import {
  createLogger,
  createNoopLogger,
  type EventLog,
} from "@bamboolane/logger/create_logger";
import { createMetrics } from "@bamboolane/metrics/create_metrics";
import {
  createMetricsServer,
  serveDirectory,
  serveReadiness,
  serveState,
  STATE_PATH,
} from "@bamboolane/gateway/directory_server";
import {
  fetchPeerState,
  PeerAnswerMemory,
} from "@bamboolane/gateway/fetch_peer_state";
import type { RowDelta } from "@bamboolane/gateway/latest_rows";
import type { GatewaySettings } from "@bamboolane/gateway/gateway_settings";
import { listen } from "@bamboolane/gateway/listen";
import { GatewayState } from "@bamboolane/gateway/gateway_state";
import {
  decodeMessage,
  type Digest,
  encodeMessage,
  type Heartbeat,
} from "@bamboolane/gateway/peer_messages";
import { PeerTask } from "@bamboolane/gateway/peer_task";
import { CrashTracker } from "@bamboolane/route/crash_tracker";
import { MemberView } from "@bamboolane/steering/member_view";
import { PeerShares } from "@bamboolane/steering/peer_shares";
import { StateTable } from "@bamboolane/gateway/state_store";
import type {
  EntryRecord,
  StateRow,
} from "@bamboolane/steering/steering_config";
import { liveBytes } from "@bamboolane/test-utils/live_heap";
import { reserveAddress } from "@bamboolane/test-utils/loopback_address";
import { pause } from "./support/scenario.ts";
import { testDialect, until, untilWithin } from "./support/test_gateway.ts";

type ServerName = "directory" | "readiness" | "state" | "metrics";

const PATHS: Record<ServerName, string> = {
  directory: `${testDialect.directoryPath}?region=a&place=a1`,
  readiness: testDialect.readinessPath,
  state: `${STATE_PATH}?operator=0&targets=0`,
  metrics: "/metrics",
};
const SETTINGS: GatewaySettings = {
  instance: { id: "e0", dataCentre: "a1", region: "a" },
  listen: {
    callers: "",
    readiness: "",
    directory: "",
    state: "",
    peers: "",
    metrics: "",
  },
  storeAddress: "",
  seeds: [],
  dataCentres: { a1: "a" },
  graceMillis: 1000,
  lookupTtlMillis: 1000,
  retryBudget: { ratio: 0, allowance: 0, windowMillis: 1000 },
  log: { level: "error" },
};
/** Size of one target's row in an answer. */
const ROW_BYTES = 1000;
const STEP_TIMEOUT_MILLIS = 30_000;
/** Time in which the server has read what the clients sent. */
const READ_MILLIS = 500;

let server: Server | undefined;
let serverName: ServerName = "directory";
let address = "";
let clients: Socket[] = [];
let beforeBytes = 0;
let logText = "";

function createLog(): EventLog {
  logText = "";
  return createLogger({ level: "info", write: (text) => logText += text });
}

function targetRow(index: number): StateRow {
  const id = `i-${index}`;
  return {
    kind: "target",
    id,
    version: index + 1,
    record: {
      id,
      service: "s".repeat(ROW_BYTES - 200),
      address: "10.0.0.1:80",
      dataCentre: "a1",
      slots: 1,
      draining: false,
      warmupLeftMillis: 0,
      bornMillis: 0,
      sequence: 0,
    },
  };
}

/** Entries as a directory lists them; an answer names 64 of them. */
const LISTED = Array.from({ length: 64 }, (_, index): EntryRecord => ({
  id: `e${index}`,
  incarnation: 1,
  dataCentre: "a1",
  region: "a",
  callerAddress: `10.0.0.${index}:8000`,
  peerAddress: `10.0.0.${index}:8001`,
  stateAddress: `10.0.0.${index}:8002`,
}));

After(() => {
  for (const client of clients) client.destroy();
  clients = [];
  server?.closeAllConnections();
  server?.close();
  server = undefined;
});

Given(
  "an open {word} server with a state of {int} MB",
  async (name: ServerName, megabytes: number) => {
    const log = createLog();
    const state = createState(megabytes);
    serverName = name;
    address = reserveAddress();
    const options = {
      log,
      state,
      dialect: testDialect,
      ttlMillis: 1000,
      isReady: () => true,
      liveEntries: () => LISTED,
    };
    switch (name) {
      case "directory":
        server = await serveDirectory(address, options);
        break;
      case "readiness":
        server = await serveReadiness(address, options);
        break;
      case "state":
        server = await serveState(address, options);
        break;
      case "metrics":
        await openMetrics(log);
    }
    beforeBytes = liveBytes();
  },
);

/** Opens the endpoint of metrics that have 2,000 label sets, the most that are counted. */
async function openMetrics(log: EventLog): Promise<void> {
  const metrics = await createMetrics(address, {
    onError: (error) => assert.fail(error),
    createServer: (answer) => server = createMetricsServer({ log }, answer),
  });
  for (let i = 0; i < 2000; i++) {
    metrics.count("bamboolane_requests", 1, { service: `service-${i}` });
  }
}

async function openClient(bytes: Buffer): Promise<void> {
  const [host, port] = address.split(":");
  const client = connect({ host, port: Number(port) });
  client.on("error", () => {});
  // A client that reads nothing.
  client.pause();
  await new Promise((resolve) => {
    client.once("connect", resolve).once("close", resolve);
  });
  client.write(bytes);
  clients.push(client);
}

function formatRequest(path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: test.example\r\n\r\n`;
}

When(
  "{int} clients send it {int} KB of requests each and read nothing",
  { timeout: STEP_TIMEOUT_MILLIS },
  async (count: number, kilobytes: number) => {
    const text = formatRequest(PATHS[serverName]);
    const bytes = Buffer.from(
      text.repeat(Math.floor(kilobytes * 1024 / text.length)),
    );
    for (let i = 0; i < count; i++) await openClient(bytes);
    await pause(READ_MILLIS);
  },
);

When(
  "{int} clients send it a part of a request each",
  async (count: number) => {
    const bytes = Buffer.from(
      `GET ${PATHS[serverName]} HTTP/1.1\r\nfield: ${"x".repeat(7000)}`,
    );
    for (let i = 0; i < count; i++) await openClient(bytes);
    await pause(READ_MILLIS);
  },
);

When(
  "{int} entries that know the same fetch the state and read nothing",
  { timeout: STEP_TIMEOUT_MILLIS },
  async (count: number) => {
    const bytes = Buffer.from(formatRequest(PATHS.state));
    for (let i = 0; i < count; i++) await openClient(bytes);
    await pause(READ_MILLIS);
  },
);

When(
  "{int} entries that each know something else fetch the state and read nothing",
  { timeout: STEP_TIMEOUT_MILLIS },
  async (count: number) => {
    for (let i = 0; i < count; i++) {
      await openClient(Buffer.from(formatRequest(pathOfKnowing(i))));
    }
    await pause(READ_MILLIS);
  },
);

/** Path for an entry that has all rows but the configuration of `revision`. */
function pathOfKnowing(revision: number): string {
  return `${PATHS.state}&revision=${revision}`;
}

When("those entries are gone", async () => {
  for (const client of clients) client.destroy();
  clients = [];
  await until(async () => await countConnections() === 0, "all are gone");
});

Then("less than {int} MB are held for its clients", (megabytes: number) => {
  const heldBytes = liveBytes() - beforeBytes;
  assert.ok(
    heldBytes < megabytes * 1e6,
    `${(heldBytes / 1e6).toFixed(1)} MB are held`,
  );
});

async function fetchStatus(path: string): Promise<number> {
  const reply = await request(`http://${address}${path}`, {
    headers: { connection: "close" },
  });
  await reply.body.dump({ limit: Infinity });
  return reply.statusCode;
}

Then(
  "the {word} server answers within {int} s",
  async (name: ServerName, seconds: number) => {
    const startMillis = performance.now();
    assert.equal(await fetchStatus(PATHS[name]), 200);
    assert.ok(performance.now() - startMillis < seconds * 1000);
  },
);

Then(
  "another entry that knows something else is answered {int}",
  async (status: number) => {
    assert.equal(await fetchStatus(pathOfKnowing(-1)), status);
  },
);

function countConnections(): Promise<number> {
  return new Promise((resolve, reject) =>
    server?.getConnections((error, count) =>
      error ? reject(error) : resolve(count)
    )
  );
}

Then("it has {int} connections at most", async (max: number) => {
  const count = await countConnections();
  assert.ok(count <= max, `${count} connections`);
});

Then(
  "it has {int} connections at most after {int} s",
  { timeout: STEP_TIMEOUT_MILLIS },
  async (max: number, seconds: number) => {
    await pause(seconds * 1000);
    const count = await countConnections();
    assert.ok(count <= max, `${count} connections`);
  },
);

Then(
  "the log says that connections of the {word} were closed",
  async (name: ServerName) => {
    await pause(100);
    assert.match(logText, /event=connections_closed/);
    assert.ok(logText.includes(`listener=${name} `), logText);
  },
);

/** Less than the time for which a fetch goes on. */
const LAST_BYTE_MILLIS = 450;

let fetchLog: EventLog = createNoopLogger();
let fetched: (RowDelta | undefined)[] = [];
const answerMemory = new PeerAnswerMemory();

function createState(megabytes: number): GatewayState {
  const state = new GatewayState(SETTINGS, createNoopLogger());
  const rows = Array.from(
    { length: megabytes * 1e6 / ROW_BYTES },
    (_, index) => targetRow(index),
  );
  state.applySnapshot(StateTable.targets, rows, {
    version: rows.length,
    nowMillis: 0,
  });
  return state;
}

Given(
  "an entry that sends a state of {int} MB, but for the last byte while {int} fetches go on",
  async (megabytes: number, max: number) => {
    const { latestRows } = createState(megabytes);
    const body = Buffer.from(JSON.stringify(latestRows.changesSince([0, 0])));
    let open = 0;
    server = createServer(async (_request, response) => {
      const endMillis = performance.now() + LAST_BYTE_MILLIS;
      open++;
      response.once("close", () => open--);
      response.write(body.subarray(0, -1));
      await pause(LAST_BYTE_MILLIS / 4);
      while (open > max && performance.now() < endMillis) await pause(5);
      response.end(body.subarray(-1));
    });
    address = reserveAddress();
    await listen(server, address, { log: createNoopLogger() });
  },
);

function fetchState(): Promise<RowDelta | undefined> {
  return fetchPeerState(address, {
    completeTo: [0, 0],
    revision: 0,
    memory: answerMemory,
    log: fetchLog,
  });
}

When("{int} fetches from it run at the same time", async (count: number) => {
  fetchLog = createLog();
  fetched = await Promise.all(Array.from({ length: count }, fetchState));
});

function countFetched(): number {
  return fetched.filter((delta) => delta !== undefined).length;
}

Then("{int} of them succeed at most", (max: number) => {
  assert.ok(countFetched() <= max, `${countFetched()} succeeded`);
});

Then("each of the others logs why it failed", () => {
  fetchLog.flush();
  const failures = logText.match(/event=borrow_failed .*with other answers/g);
  assert.equal(failures?.length, fetched.length - countFetched());
});

Then("a later fetch from it succeeds", async () => {
  assert.ok((await fetchState())?.whole);
});

function createRecord(id: string, dataCentre = "a1"): EntryRecord {
  return {
    id,
    incarnation: 1,
    dataCentre,
    region: "a",
    callerAddress: "10.0.0.1:1",
    peerAddress: "10.0.0.1:2",
    stateAddress: "10.0.0.1:3",
  };
}

const SERVING = { serving: true, reachesStore: true };

let members = new MemberView();
let shares = new PeerShares();
let crashes: CrashTracker;
let nowMillis = 0;
let heldBytes = 0;

Given(
  "an entry that knows the entries {string} and {string} from the store",
  (first: string, second: string) => {
    members = new MemberView();
    shares = new PeerShares();
    members.apply(first, createRecord(first), 1);
    members.apply(second, createRecord(second), 2);
    nowMillis = 0;
  },
);

When(
  "{int} other entries send it a heartbeat each, {int} per ms",
  { timeout: STEP_TIMEOUT_MILLIS },
  (count: number, perMilli: number) => {
    const before = liveBytes();
    for (let i = 0; i < count; i++) {
      nowMillis = i / perMilli;
      const inFlight = new Map([[`target-of-${i}`, 1]]);
      const record = createRecord(`other-entry-${i}`);
      members.applyHeartbeat(record, { ...SERVING, inFlight }, nowMillis);
      const untilMillis = nowMillis + 1000;
      shares.setShares(record.id, new Map([["s", 0.5]]), untilMillis);
    }
    heldBytes = liveBytes() - before;
  },
);

When(
  "{int} other entries report {int} targets and {int} services each",
  { timeout: STEP_TIMEOUT_MILLIS },
  (count: number, targets: number, services: number) => {
    const before = liveBytes();
    for (let i = 0; i < count; i++) {
      const record = createRecord(`other-entry-${i}`);
      const inFlight = new Map(
        Array.from({ length: targets }, (_, t) => [`target-${i}-${t}`, 1]),
      );
      members.applyHeartbeat(record, { ...SERVING, inFlight }, nowMillis);
      const reported = new Map(
        Array.from({ length: services }, (_, s) => [`service-${i}-${s}`, 0.5]),
      );
      shares.setShares(record.id, reported, nowMillis + 1000);
    }
    heldBytes = liveBytes() - before;
  },
);

Then(
  "heartbeats of {string} and {string} still count",
  (first: string, second: string) => {
    for (const id of [first, second]) {
      const record = { ...createRecord(id), incarnation: 2 };
      const inFlight = new Map<string, number>();
      members.applyHeartbeat(record, { ...SERVING, inFlight }, nowMillis);
      assert.ok(members.isServing(id, nowMillis));
    }
    // Part of what is measured.
    shares.setShares("e1", new Map([["s", 0.25]]), nowMillis + 5000);
    assert.equal(shares.mean("s", nowMillis + 4000), 0.25);
  },
);

When(
  "other entries report {int} requests that crashed {int} targets each",
  (count: number, targets: number) => {
    const before = liveBytes();
    crashes = new CrashTracker({
      maxFingerprints: 1000,
      retentionMillis: 60_000,
    });
    for (let i = 0; i < count; i++) {
      crashes.merge({
        fingerprint: `request-${i}`,
        targets: Array.from({ length: targets }, (_, t) => `target-${i}-${t}`),
      }, 0);
    }
    heldBytes = liveBytes() - before;
  },
);

Then("each of these requests is held back", () => {
  const suspects = crashes.listSuspects(0);
  assert.equal(suspects.length, 1000);
  for (const { fingerprint } of suspects) {
    assert.ok(crashes.isHeldBack(fingerprint, 0));
  }
});

Then("less than {int} MB are held for those others", (megabytes: number) => {
  assert.ok(
    heldBytes < megabytes * 1e6,
    `${(heldBytes / 1e6).toFixed(1)} MB are held`,
  );
});

function createHeartbeat(changes: Partial<Heartbeat>): Heartbeat {
  return {
    kind: "heartbeat",
    entry: createRecord("e1"),
    ...SERVING,
    versions: [0, 0],
    inFlight: {},
    shares: {},
    suspects: [],
    digests: [],
    ...changes,
  };
}

function assertUnreadable(changes: Partial<Heartbeat>): void {
  decodeMessage(encodeMessage(createHeartbeat({})));
  const bytes = encodeMessage(createHeartbeat(changes));
  assert.throws(() => decodeMessage(bytes));
}

Then(
  "a heartbeat that names a target with {int} characters can't be read",
  (length: number) => {
    assertUnreadable({ inFlight: { ["t".repeat(length)]: 1 } });
  },
);

Then(
  "a heartbeat that names a fingerprint with {int} characters can't be read",
  (length: number) => {
    const fingerprint = "f".repeat(length);
    assertUnreadable({ suspects: [{ fingerprint, targets: ["t"] }] });
  },
);

Then(
  "a heartbeat from an entry with an id of {int} characters can't be read",
  (length: number) =>
    assertUnreadable({ entry: createRecord("e".repeat(length)) }),
);

let peerTask: PeerTask | undefined;
let localPeer: DatagramSocket | undefined;
let relayAddress = "";
const relayed = new Set<string>();

After(() => {
  peerTask?.stop();
  localPeer?.close();
  peerTask = undefined;
  localPeer = undefined;
});

Given("an entry that relays digests to a local peer", async () => {
  const state = new GatewayState(SETTINGS, createNoopLogger());
  relayAddress = reserveAddress();
  const peerAddress = reserveAddress();
  const self = { ...createRecord("e0"), peerAddress: relayAddress };
  state.members.apply("e1", { ...createRecord("e1"), peerAddress }, 1);
  peerTask = new PeerTask({
    self,
    state,
    log: createNoopLogger(),
    isServing: () => true,
    reachesStore: () => true,
    inFlight: () => ({}),
    shares: () => ({}),
    random: Math.random,
    onPeerState: () => {},
    onUnknownMembers: () => {},
  });
  relayed.clear();
  localPeer = createSocket("udp4", (bytes) => {
    const message = decodeMessage(bytes);
    if (message.kind !== "heartbeat") return;
    for (const { relay } of message.digests) relayed.add(relay.dataCentre);
  });
  const [host, port] = peerAddress.split(":");
  localPeer.bind(Number(port), host);
  await peerTask.listen();
});

When(
  "it gets digests of {int} KB from {int} data centres at the same time",
  async (kilobytes: number, count: number) => {
    const [host, port] = relayAddress.split(":");
    for (let i = 0; i < count; i++) {
      const targets = Array.from(
        { length: kilobytes * 1024 / 16 },
        (_, t) => [`target-${i}-${t}`, 1],
      );
      const digest: Digest = {
        kind: "digest",
        relay: createRecord(`relay-${i}`, `b${i}`),
        serving: [],
        versions: [0, 0],
        inFlight: Object.fromEntries(targets),
        shares: {},
        suspects: [],
      };
      localPeer?.send(encodeMessage(digest), Number(port), host);
      // The system drops datagrams that are not read in time.
      if (i % 8 === 0) await pause(2);
    }
  },
);

Then(
  "the local peer gets all of them within {int} s",
  (seconds: number) =>
    untilWithin(() => relayed.size === 88, {
      seconds,
      description: "all digests are forwarded",
    }),
);
