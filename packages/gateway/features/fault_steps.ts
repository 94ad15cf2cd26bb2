/**
 * Steps for errors in the entry itself, and for the end of its process.
 */
import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import process from "node:process";
import { Then, When } from "@cucumber/cucumber";
import { createNoopLogger } from "@bamboolane/logger/create_logger";
import { createLogger, type EventLog } from "@bamboolane/logger/create_logger";
import { ProcessEnd } from "@bamboolane/gateway/process_end";
import type { RunningGateway } from "@bamboolane/gateway/start_gateway";
import {
  answersOf,
  connectTo,
  type RawCaller,
  send,
  statusOf,
} from "./support/raw_caller.ts";
import {
  call,
  gatewayOf,
  lastReply,
  pause,
  world,
} from "./support/scenario.ts";
import { until } from "./support/test_gateway.ts";

/** Time in which an entry sends further heartbeats. */
const HEARTBEATS_MILLIS = 400;
const INJECTED_MESSAGE = "injected by the scenario";

let longAnswers: { caller: RawCaller; bytes: number }[] = [];
/** How the process ended, and whether the answer had arrived by then. */
let ended: { code: number; answered: boolean; atMillis: number } | undefined;
let stopAtMillis = 0;

When(
  "{int} callers of {string}, one after another, pipeline {string} and a request for {int} to {int} kB",
  { timeout: 30_000 },
  async (
    count: number,
    entry: string,
    first: string,
    minKilobytes: number,
    maxKilobytes: number,
  ) => {
    longAnswers = [];
    for (let i = 0; i < count; i++) {
      const share = i / (count - 1);
      const bytes = 1000 * minKilobytes +
        Math.round(share * 1000 * (maxKilobytes - minKilobytes));
      const caller = connectTo(entry);
      send(caller, first);
      send(caller, `/read/${bytes}`);
      longAnswers.push({ caller, bytes });
      await until(
        () => caller.closed || bodyBytes(caller) >= bytes,
        "the long answer ends",
      );
    }
  },
);

Then("each caller got both answers whole", () => {
  for (const { caller, bytes } of longAnswers) {
    assert.deepEqual(answersOf(caller).map(statusOf), [200, 200]);
    assert.equal(bodyBytes(caller), bytes);
  }
});

/** Bytes of the long answer's body that a caller has read. */
function bodyBytes(caller: RawCaller): number {
  const chunks = caller.text.match(/xx+/g) ?? [];
  return chunks.reduce((sum, { length }) => sum + length, 0);
}

When(
  "a caller of {string} gets {string}, and the entry fails to record the answer",
  async (entry: string, path: string) => {
    const { state } = gatewayOf(entry);
    const reply = call(entry, path);
    await pause(100);
    state.estimate = () => {
      Reflect.deleteProperty(state, "estimate");
      throw new Error(INJECTED_MESSAGE);
    };
    world.replies.push(await reply);
  },
);

Then(
  /^the log has an? "(\w+)" with the request's id and the stack$/,
  (event: string) => {
    const line = world.system.logText.split("\n")
      .find((text) => text.includes(`event=${event} `)) ?? "";
    assert.ok(line.includes(INJECTED_MESSAGE), line);
    assert.ok(line.includes(String(lastReply().headers["sent-id"])), line);
    assert.match(line, /fault_steps/);
  },
);

/** Ends no process, but records that it would have ended. */
function processEndOf(
  gateway: RunningGateway,
  options: { log: EventLog; graceMillis: number; answered: () => boolean },
): ProcessEnd {
  ended = undefined;
  stopAtMillis = performance.now();
  const processEnd = new ProcessEnd({
    log: options.log,
    graceMillis: () => options.graceMillis,
    exit: (code) =>
      ended = {
        code,
        answered: options.answered(),
        atMillis: performance.now(),
      },
  });
  processEnd.watch(gateway);
  return processEnd;
}

When(
  "nothing handles an error while a caller of {string} waits for {string}",
  async (entry: string, path: string) => {
    let answered = false;
    const reply = call(entry, path).then((received) => {
      answered = true;
      world.replies.push(received);
    });
    await pause(100);
    const processEnd = processEndOf(gatewayOf(entry), {
      log: createLogger({
        level: "info",
        write: (text) => world.system.logText += text,
      }),
      graceMillis: world.system.settings(entry).graceMillis,
      answered: () => answered,
    });
    processEnd.handleUncaught(new Error(INJECTED_MESSAGE), "uncaughtException");
    await reply;
    await until(() => ended !== undefined, "the process ends");
  },
);

Then(
  "the process ended with code {int}, after the answer",
  (code: number) => {
    assert.equal(ended?.code, code);
    assert.equal(ended?.answered, true);
  },
);

When(
  "the stop of a gateway with a grace period of {int} s never ends",
  async (seconds: number) => {
    const gateway = {
      stop: () => new Promise<void>(() => {}),
      describeRequests: () => "",
    } as Partial<RunningGateway> as RunningGateway;
    const processEnd = processEndOf(gateway, {
      log: createNoopLogger(),
      graceMillis: seconds * 1000,
      answered: () => false,
    });
    processEnd.stop();
    await until(() => ended !== undefined, "the process ends");
  },
);

Then(
  "the process ended with code {int} within {int} ms",
  (code: number, maxMillis: number) => {
    assert.equal(ended?.code, code);
    assert.ok(ended && ended.atMillis - stopAtMillis <= maxMillis);
  },
);

/** Sends `bytes` to the port for datagrams of an entry. */
function sendDatagram(entry: string, bytes: Buffer): void {
  const [host, port] = world.system.settings(entry).listen.peers.split(":");
  const socket = createSocket("udp4");
  socket.send(bytes, Number(port), host, () => socket.close());
}

When(
  /^a (heartbeat|digest) reaches "(\w+)" from an entry whose peer address is (?:missing|"(.*)")$/,
  async (kind: string, entry: string, peerAddress: string | undefined) => {
    const isDigest = kind === "digest";
    const record = {
      id: "e9",
      incarnation: 1,
      dataCentre: isDigest ? "b1" : "a1",
      region: "a",
      callerAddress: "127.0.0.1:1",
      peerAddress,
      stateAddress: "127.0.0.1:2",
    };
    const message = {
      kind,
      [isDigest ? "relay" : "entry"]: record,
      serving: isDigest ? ["e9"] : true,
      reachesStore: true,
      versions: [0, 0],
      inFlight: {},
      shares: {},
      suspects: [],
      digests: [],
    };
    sendDatagram(entry, Buffer.from(JSON.stringify(message)));
    await pause(HEARTBEATS_MILLIS);
  },
);

Then("the log has a {string}", (event: string) =>
  until(
    () => world.system.logText.includes(`event=${event} `),
    `the log has a ${event}`,
  ));

Then(
  "a caller of {string} that gets {string} gets {int}",
  async (entry: string, path: string, status: number) => {
    assert.equal((await call(entry, path)).status, status);
  },
);

When(
  "the resident memory can't be read for {int} ms, for lack of a descriptor",
  async (millis: number) => {
    const { rss } = process.memoryUsage;
    process.memoryUsage.rss = () => {
      throw new Error("EMFILE: too many open files, uv_resident_set_memory");
    };
    const faults: Error[] = [];
    const onFault = (error: Error) => faults.push(error);
    process.on("uncaughtException", onFault);
    await pause(millis);
    process.off("uncaughtException", onFault);
    process.memoryUsage.rss = rss;
    assert.deepEqual(faults, []);
  },
);

Then("the log says once that the resident memory is unknown", () => {
  const lines = world.system.logText.match(/event=resident_memory_unknown/g);
  assert.equal(lines?.length, 1);
});
