/**
 * Steps that send requests through gateways on real sockets.
 */
import assert from "node:assert/strict";
import process from "node:process";
import { connect, type Socket } from "node:net";
import { Worker } from "node:worker_threads";
import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import { request } from "undici";
import { StallMonitor } from "@bamboolane/gateway/stall_monitor";
import {
  formatResponse,
  type ReceivedRequest,
  type Script,
} from "@bamboolane/standins/scripted_target";
import {
  call,
  lastReply,
  pause,
  type Reply,
  world,
} from "./support/scenario.ts";
import { FAULTY_SCRIPTS } from "./support/faulty_targets.ts";
import {
  answerValidly,
  bodyOf,
  signedHeaders,
} from "./support/target_answers.ts";
import { testConfig, TestGateway, until } from "./support/test_gateway.ts";

let pipelinedText = "";
let crashes = 0;

Before({ tags: "not @none" }, () => {
  world.replies = [];
  pipelinedText = "";
  crashes = 0;
});

After(async () => {
  await world.system?.close();
});

const SCRIPTS: Record<string, Script> = {
  ...FAULTY_SCRIPTS,
  "answers": answerValidly,
  "closes without an answer": (_received, socket) => {
    socket.destroy();
  },
  "refuses without running": (_received, socket) => {
    socket.write(formatResponse(503, { "Test-Not-Run": "1" }, ""));
  },
  "answers 503 after running": (received, socket) => {
    socket.write(formatResponse(503, signedHeaders(received), "failed"));
  },
  "answers without a signature": (received, socket) => {
    socket.write(
      formatResponse(
        200,
        { "Test-Request": received.headers["test-request"] },
        "x",
      ),
    );
  },
  "answers with an encoding": (received, socket) => {
    const headers = { ...signedHeaders(received), "Content-Encoding": "gzip" };
    socket.write(formatResponse(200, headers, "x"));
  },
  "answers with the id of another request": (received, socket) => {
    const headers = {
      ...signedHeaders(received),
      "Test-Request": "somebody-else",
    };
    socket.write(formatResponse(200, headers, "x"));
  },
  "resets in the middle of an answer with a length": (received, socket) => {
    const answer = formatResponse(
      200,
      signedHeaders(received),
      bodyOf(received),
    );
    socket.write(answer.slice(0, -3), () => socket.resetAndDestroy());
  },
  "resets at the end of an answer without a length": (received, socket) => {
    socket.write(
      formatUnframedAnswer(received).slice(0, -3),
      () => socket.resetAndDestroy(),
    );
  },
  "sends bytes that are not HTTP": (_received, socket) => {
    socket.write("\x16\x03\x01 not an answer\r\n\r\n");
  },
  "answers without a length": (received, socket) => {
    socket.end(formatUnframedAnswer(received));
  },
  "answers twice": (received, socket) => {
    const answer = formatResponse(
      200,
      signedHeaders(received),
      bodyOf(received),
    );
    socket.write(answer + answer);
  },
  "never answers": () => new Promise<void>(() => {}),
  "answers after 1500 ms": async (received, socket) => {
    await pause(1500);
    answerValidly(received, socket);
  },
  "answers with 200 kB": (received, socket) => {
    const body = "x".repeat(200_000);
    socket.write(formatResponse(200, signedHeaders(received), body));
  },
  "answers with 40000 kB": (received, socket) => {
    socket.write(longAnswerHead(received, 40_000_000));
    const part = Buffer.alloc(1_000_000, "x");
    for (let i = 0; i < 40; i++) socket.write(part);
  },
  "answers slowly at first": async (received, socket) => {
    await pause(received.path.endsWith("/0") ? 150 : 5);
    answerValidly(received, socket);
  },
  "answers early": (received, socket) => {
    // With `respondOnHead` the target calls this once the head was read.
    answerValidly(received, socket);
  },
  "sends 400 kB slowly": (received, socket) => sendLongAnswer(received, socket),
  "sends 400 kB slowly and resets at the end": async (received, socket) => {
    await sendLongAnswer(received, socket, { bytes: LONG_ANSWER_BYTES - 1 });
    socket.resetAndDestroy();
  },
  "answers /read/0 slowly, and others with a long body before it closes":
    async (
      received,
      socket,
    ) => {
      if (received.path.endsWith("/0")) {
        await pause(300);
        return answerValidly(received, socket);
      }
      const headers = { ...signedHeaders(received), "Connection": "close" };
      const bytes = Number(received.path.split("/").at(-1));
      socket.end(formatResponse(200, headers, "x".repeat(bytes)));
    },
  "answers with 400 kB after 100 ms": async (received, socket) => {
    await pause(100);
    const body = "x".repeat(LONG_ANSWER_BYTES);
    socket.write(formatResponse(200, signedHeaders(received), body));
  },
  "answers after 40 ms": async (received, socket) => {
    await pause(40);
    answerValidly(received, socket);
  },
  "answers after 200 ms": async (received, socket) => {
    await pause(200);
    answerValidly(received, socket);
  },
  "answers after 400 ms": async (received, socket) => {
    await pause(400);
    answerValidly(received, socket);
  },
  "answers after 900 ms": async (received, socket) => {
    await pause(900);
    answerValidly(received, socket);
  },
};

const LONG_ANSWER_BYTES = 400_000;
const PART_BYTES = 20_000;
let lastPartSent = false;

/** Part of the long answer; each byte depends on its position. */
function longAnswerPart(from: number, to: number): Buffer {
  return Buffer.from(
    Array.from({ length: to - from }, (_, i) => (from + i) % 251),
  );
}

function longAnswerHead(received: ReceivedRequest, bytes: number): string {
  const lines = Object.entries(signedHeaders(received)).map(([name, value]) =>
    `${name}: ${value}\r\n`
  );
  return `HTTP/1.1 200 X\r\n${lines.join("")}Content-Length: ${bytes}\r\n\r\n`;
}

async function sendLongAnswer(
  received: ReceivedRequest,
  socket: Socket,
  options: { bytes: number } = { bytes: LONG_ANSWER_BYTES },
): Promise<void> {
  lastPartSent = false;
  socket.write(longAnswerHead(received, LONG_ANSWER_BYTES));
  for (let at = 0; at < options.bytes; at += PART_BYTES) {
    const end = Math.min(options.bytes, at + PART_BYTES);
    if (at + PART_BYTES >= LONG_ANSWER_BYTES) {
      await until(() => longReceivedBytes > 0, "the caller has the first part");
      lastPartSent = true;
    }
    socket.write(longAnswerPart(at, end));
    await pause(2);
  }
}

let longReceivedBytes = 0;
let longBody = Buffer.alloc(0);
let longError: Error | undefined;
let firstPartBeforeLast = false;

When(
  "a caller of {string} streams the answer to {string}",
  async (entry: string, path: string) => {
    longReceivedBytes = 0;
    longError = undefined;
    const parts: Buffer[] = [];
    const reply = await request(
      `http://${world.system.settings(entry).listen.callers}${path}`,
      {
        headers: {
          host: "test.example",
          "test-request": "long",
          "test-deadline": "1900",
        },
      },
    );
    try {
      for await (const part of reply.body) {
        if (longReceivedBytes === 0) firstPartBeforeLast = !lastPartSent;
        longReceivedBytes += part.byteLength;
        parts.push(part);
      }
    } catch (error) {
      longError = error as Error;
    }
    longBody = Buffer.concat(parts);
  },
);

Then("the first part arrives before the target has sent the last", () => {
  assert.ok(firstPartBeforeLast);
});

Then("all {int} kB arrive in order", (kilobytes: number) => {
  assert.equal(longError, undefined);
  assert.equal(longBody.byteLength, kilobytes * 1000);
  assert.ok(longBody.equals(longAnswerPart(0, LONG_ANSWER_BYTES)));
});

const warnings: string[] = [];
process.on("warning", (warning) => warnings.push(String(warning)));

Then("the process emitted no warning about leaked listeners", () => {
  assert.deepEqual(warnings.filter((text) => text.includes("Listeners")), []);
});

Then("the answer is cut short with an error", () => {
  assert.ok(longError !== undefined, "the caller sees an error");
  assert.ok(longBody.byteLength < LONG_ANSWER_BYTES);
});

function formatUnframedAnswer(received: ReceivedRequest): string {
  const lines = Object.entries(signedHeaders(received)).map(([name, value]) =>
    `${name}: ${value}\r\n`
  );
  return `HTTP/1.1 200 X\r\n${lines.join("")}Connection: close\r\n\r\n` +
    bodyOf(received);
}

Given("a store with a route of each kind", () => {
  world.system = new TestGateway();
  world.system.publish(testConfig(5));
});

Given(
  /^a target "(\w+)" that (answers|closes without an answer|refuses without running|answers .*|resets .*|sends .*|never answers)$/,
  async (id: string, behaviour: string) => {
    const script = SCRIPTS[behaviour];
    assert.ok(script, `no script for "${behaviour}"`);
    await world.system.addTarget(id, script, {
      respondOnHead: behaviour === "answers early",
    });
  },
);

Given(
  /^a target "(\w+)" in data centre "(\w+)" that answers$/,
  (id: string, dataCentre: string) =>
    world.system.addTarget(id, SCRIPTS.answers, { dataCentre }),
);

Given(
  "{int} targets in data centres {string} and {string} that answer",
  async (count: number, first: string, second: string) => {
    for (let i = 0; i < count; i++) {
      const dataCentre = i % 2 === 0 ? first : second;
      await world.system.addTarget(`t${i}`, SCRIPTS.answers, { dataCentre });
    }
  },
);

Given("a target {string} that crashes", async (id: string) => {
  await world.system.addTarget(id, async (_received, socket) => {
    crashes++;
    const closed = world.system.targets.get(id)?.close();
    socket.destroy();
    await closed;
  });
});

Given("an entry {string}", (id: string) => world.system.addEntry(id));

Given(
  "an entry {string} with a retry budget",
  (id: string) => world.system.addEntry(id, { hasRetryBudget: true }),
);

Given(
  "an entry {string} that can't reach the store",
  (id: string) => world.system.addEntry(id, { storeUnavailable: true }),
);

Given(
  "an entry {string} that can't reach the store, with {string} as seed",
  (id: string, seed: string) =>
    world.system.addEntry(id, { storeUnavailable: true, seeds: [seed] }),
);

Given(
  "an entry {string} in data centre {string}",
  (id: string, dataCentre: string) => world.system.addEntry(id, { dataCentre }),
);

Given(
  "entries {string} and {string} that start together",
  async (first: string, second: string) => {
    await Promise.all([
      world.system.addEntry(first),
      world.system.addEntry(second),
    ]);
  },
);

When(
  "a caller of {string} gets {string} with {int} ms left",
  async (entry: string, path: string, deadlineMillis: number) => {
    world.replies.push(await call(entry, path, { deadlineMillis }));
  },
);

When(
  "a caller of {string} gets {string} {int} times in a row",
  async (entry: string, path: string, times: number) => {
    for (let i = 0; i < times; i++) world.replies.push(await call(entry, path));
  },
);

When(
  "a caller of {string} posts {string}",
  async (entry: string, path: string) => {
    world.replies.push(
      await call(entry, path, { method: "POST", body: "one" }),
    );
  },
);

When(
  /^a caller of "(\w+)" sends (an unknown path|too long headers|too long a body)$/,
  async (entry: string, requestKind: string) => {
    const senders: Record<string, () => Promise<Reply>> = {
      "an unknown path": () => call(entry, "/nowhere/x"),
      "too long headers": () =>
        call(entry, "/read/x", { headers: { filler: "x".repeat(5000) } }),
      "too long a body": () =>
        call(entry, "/write/x", { method: "POST", body: "x".repeat(10_001) }),
    };
    world.replies.push(await senders[requestKind]());
  },
);

When(
  "a caller of {string} disconnects after {int} ms",
  async (entry: string, millis: number) => {
    const { callers } = world.system.settings(entry).listen;
    const [host, port] = callers.split(":");
    const socket = connect({ host, port: Number(port) });
    socket.write(
      "GET /read/x HTTP/1.1\r\nHost: test.example\r\nTest-Request: gone\r\n" +
        "Test-Deadline: 5000\r\n\r\n",
    );
    await until(
      () => world.system.receivedCount > 0,
      "the target has the request",
    );
    await pause(millis);
    socket.destroy();
  },
);

let stallDetected = false;

When(
  "each turn of the event loop takes {int} ms and queries the stall monitor {int} times",
  async (turnMillis: number, times: number) => {
    const monitor = new StallMonitor();
    // The start of the monitor counts as a stall, which has to be over.
    await pause(1200);
    for (let turn = 0; turn < 5; turn++) {
      for (let i = 0; i < times; i++) {
        const endMillis = performance.now() + turnMillis / times;
        while (performance.now() < endMillis) {
          // Keeps the event loop busy.
        }
        stallDetected = monitor.stalledRecently();
      }
      await new Promise((resolve) => setImmediate(resolve));
    }
    monitor.stop();
  },
);

Then("a stall was detected", () => assert.ok(stallDetected));

/** Source of a thread whose callers disconnect while the main thread is busy. */
const DISCONNECTING_CALLERS = `
  const { connect } = require("node:net");
  const { parentPort, workerData } = require("node:worker_threads");
  const [host, port] = workerData.address.split(":");
  parentPort.once("message", () => {
    for (let i = 0; i < workerData.count; i++) {
      const socket = connect({ host, port: Number(port) });
      socket.write("GET /read/x HTTP/1.1\\r\\nHost: test.example\\r\\n" +
        "Test-Request: left" + i + "\\r\\nTest-Deadline: 5000\\r\\n\\r\\n");
      setTimeout(
        () => socket.end(() => Atomics.add(workerData.left, 0, 1)),
        workerData.leaveAfterMillis,
      );
    }
  });
`;

/** When the stall began, on the log's clock. */
let stallTime = "";

/**
 * Lets callers in another thread send a request each and disconnect while this
 * process stalls; the stall begins `queuedMillis` after the requests.
 */
async function disconnectDuringStall(
  entry: string,
  options: {
    count: number;
    queuedMillis: number;
    /** When callers disconnect, after their requests. */
    leaveAfterMillis: number;
    /** Length of the stall; if undefined, it ends when all callers have disconnected. */
    stallMillis: number | undefined;
  },
): Promise<void> {
  const { count, leaveAfterMillis } = options;
  const address = world.system.settings(entry).listen.callers;
  const left = new Int32Array(new SharedArrayBuffer(4));
  const worker = new Worker(DISCONNECTING_CALLERS, {
    eval: true,
    workerData: { address, count, leaveAfterMillis, left },
  });
  await new Promise((resolve) => worker.once("online", resolve));
  worker.postMessage("go");
  await pause(options.queuedMillis);
  stallTime = new Date().toISOString();
  const startMillis = performance.now();
  const hasEnded = () =>
    options.stallMillis === undefined
      ? Atomics.load(left, 0) === count
      : performance.now() - startMillis > options.stallMillis;
  while (!hasEnded()) {
    // Stalls the event loop.
  }
  await pause(500);
  await worker.terminate();
}

When(
  "{int} callers of {string} send a request and disconnect while the process stalls for {int} ms",
  (count: number, entry: string, stallMillis: number) =>
    disconnectDuringStall(entry, {
      count,
      queuedMillis: 0,
      leaveAfterMillis: 100,
      stallMillis,
    }),
);

When(
  "{int} callers of {string} send a request and disconnect before it is read",
  async (count: number, entry: string) => {
    // The start of the process counts as a stall, which has to be over.
    await pause(1200);
    await disconnectDuringStall(entry, {
      count,
      queuedMillis: 0,
      leaveAfterMillis: 0,
      stallMillis: undefined,
    });
  },
);

When(
  "{int} callers of {string} are queued and disconnect while the process stalls for {int} ms",
  (count: number, entry: string, stallMillis: number) =>
    disconnectDuringStall(entry, {
      count,
      queuedMillis: 60,
      leaveAfterMillis: 160,
      stallMillis,
    }),
);

Then("none of their requests was sent after that", () => {
  const lines = world.system.logText.split("\n").filter((line) =>
    line.includes("request=left") && line.slice("time=".length) > stallTime
  );
  const sent = lines.filter((line) => line.includes("event=send "));
  assert.deepEqual(sent, []);
  assert.ok(lines.length > 0, "they were seen to leave");
});

When(
  "a caller of {string} pipelines {int} requests",
  async (entry: string, count: number) => {
    const [host, port] = world.system.settings(entry).listen.callers.split(":");
    const socket = connect({ host, port: Number(port) });
    socket.on("data", (chunk) => pipelinedText += chunk.toString());
    for (let i = 0; i < count; i++) {
      socket.write(
        `GET /read/${i} HTTP/1.1\r\nHost: test.example\r\n` +
          `Test-Request: p${i}\r\nTest-Deadline: 1500\r\n\r\n`,
      );
    }
    await until(
      () => pipelinedText.includes(`body of p${count - 1}`),
      "all answers",
    );
    socket.destroy();
  },
);

When(
  "{string} stops while a caller waits for {string}",
  async (entry: string, path: string) => {
    const waiting = call(entry, path);
    await until(
      () => world.system.receivedCount > 0,
      "the target has the request",
    );
    const stopped = world.system.entries.get(entry)?.gateway.stop();
    await pause(50);
    const { readiness } = world.system.settings(entry).listen;
    const ready = await request(`http://${readiness}/ready`);
    await ready.body.dump();
    assert.equal(ready.statusCode, 503);
    world.replies.push(await waiting);
    await stopped;
  },
);

When(
  "a caller of {string} sends the same crashing request {int} times",
  async (entry: string, times: number) => {
    for (let i = 0; i < times; i++) {
      world.replies.push(await call(entry, "/read/poison"));
      // Time for the check whether the target crashed.
      await pause(100);
      if (crashes >= 2) break;
    }
    world.replies.push(await call(entry, "/read/poison"));
  },
);

Then("the answer is {int}", (status: number) => {
  assert.equal(lastReply().status, status);
});

Then("the answer is {int} with a Retry-After", (status: number) => {
  const reply = lastReply();
  assert.equal(reply.status, status);
  assert.ok(Number(reply.headers["retry-after"]) > 0);
});

Then(
  "the answer is {int} with the target's body and signature",
  (status: number) => {
    const reply = lastReply();
    assert.equal(reply.status, status);
    assert.equal(reply.headers["test-signature"], "valid");
    assert.equal(reply.headers["test-load"], undefined);
    assert.equal(reply.body, `body of ${reply.headers["sent-id"]}`);
  },
);

Then("each answer is {int} with its own body", (status: number) => {
  for (const reply of world.replies) {
    assert.equal(reply.status, status);
    assert.equal(reply.body, `body of ${reply.headers["sent-id"]}`);
  }
});

Then(
  "the answer is {int} after the route's {int} ms",
  (status: number, millis: number) => {
    const reply = lastReply();
    assert.equal(reply.status, status);
    // Half a second beyond the timeout is allowed.
    assert.ok(
      reply.tookMillis >= millis - 5 && reply.tookMillis < millis + 500,
    );
  },
);

Then("the answer is {int} and closes the connection", (status: number) => {
  assert.equal(lastReply().status, status);
  assert.equal(lastReply().headers.connection, "close");
});

Then("{string} accepts no more connections", async (entry: string) => {
  const { callers } = world.system.settings(entry).listen;
  await assert.rejects(request(`http://${callers}/read/x`));
});

Then(
  "{string} received its own id and a deadline of at most {int} ms",
  (id: string, max: number) => {
    const received = world.system.targets.get(id)
      ?.received[0] as ReceivedRequest;
    assert.equal(received.headers["test-target"], id);
    const left = Number(received.headers["test-deadline"]);
    assert.ok(left > 0 && left <= max, `${left}`);
  },
);

Then("{string} received {int} requests", (id: string, count: number) => {
  assert.equal(world.system.targets.get(id)?.received.length, count);
});

Then(
  "{string} received at least {int} request",
  (id: string, count: number) => {
    assert.ok((world.system.targets.get(id)?.received.length ?? 0) >= count);
  },
);

Then("the targets received at most {int} requests", (max: number) => {
  assert.ok(
    world.system.receivedCount >= 1 && world.system.receivedCount <= max,
  );
});

Then("a connection to the targets was closed", async () => {
  const abortedCount = () =>
    [...world.system.targets.values()].reduce(
      (n, t) => n + t.abortedCount(),
      0,
    );
  await until(() => abortedCount() > 0, "the connection is closed");
});

Then("{int} answers arrive in order", (count: number) => {
  const order = [...pipelinedText.matchAll(/body of p(\d)/g)].map(([, n]) =>
    Number(n)
  );
  assert.deepEqual(order, Array.from({ length: count }, (_, i) => i));
});

Then(
  "at most {int} targets crashed and the last answer is {int}",
  (max: number, status: number) => {
    assert.ok(crashes >= 1 && crashes <= max, `${crashes}`);
    assert.equal(lastReply().status, status);
  },
);

Given(
  "a target {string} that drops connections after {int} ms of idle time",
  async (id: string, idleMillis: number) => {
    const lastUsed = new Map<number, number>();
    await world.system.addTarget(id, (received, socket) => {
      const idleSince = lastUsed.get(received.connection) ?? Infinity;
      if (performance.now() - idleSince > idleMillis) {
        socket.resetAndDestroy();
        return;
      }
      answerValidly(received, socket);
      lastUsed.set(received.connection, performance.now());
    });
  },
);

When(
  "a caller of {string} posts {string} {int} times with a pause of {int} ms",
  async (entry: string, path: string, times: number, millis: number) => {
    for (let i = 0; i < times; i++) {
      if (i > 0) await pause(millis);
      world.replies.push(
        await call(entry, path, { method: "POST", body: "x" }),
      );
    }
  },
);

Then("at most {int} answer is not {int}", (max: number, status: number) => {
  const others = world.replies.filter((reply) => reply.status !== status);
  assert.ok(world.replies.length > max + 1);
  assert.ok(others.length <= max, `${others.length}`);
});

When(
  "a caller of {string} posts a body of {int} bytes to {string} {int} times in a row",
  async (entry: string, bytes: number, path: string, times: number) => {
    for (let i = 0; i < times; i++) {
      const body = String.fromCharCode(97 + i).repeat(bytes);
      world.replies.push(await call(entry, path, { method: "POST", body }));
    }
  },
);

Then("the targets received {int} complete requests", async (count: number) => {
  const received = () =>
    [...world.system.targets.values()].flatMap((t) => t.received);
  await until(
    () =>
      received().filter(({ body }) => body.length === 9000).length === count,
    "all bodies are read",
  );
  assert.equal(received().length, count);
  for (const { body } of received()) {
    assert.equal(body, body[0].repeat(9000), "a body holds only its own bytes");
  }
});

Then(
  "{string} receives at most {int} requests while {int} callers of {string} send one after another for {int} ms",
  async (
    id: string,
    max: number,
    callers: number,
    entry: string,
    millis: number,
  ) => {
    const target = world.system.targets.get(id);
    const before = target?.received.length ?? 0;
    const endMillis = performance.now() + millis;
    await Promise.all(Array.from({ length: callers }, async () => {
      while (performance.now() < endMillis) {
        await call(entry, "/read/x");
        await pause(5);
      }
    }));
    const received = (target?.received.length ?? 0) - before;
    // The service's warm-up rate is ten a second, with a burst of one.
    assert.ok(received >= 1 && received <= max, `${received}`);
  },
);

When(
  "a caller of {string} pipelines {int} requests and {string} stops",
  async (entry: string, count: number, _repeated: string) => {
    const [host, port] = world.system.settings(entry).listen.callers.split(":");
    const socket = connect({ host, port: Number(port) });
    socket.on("data", (chunk) => pipelinedText += chunk.toString());
    const closed = new Promise<void>((resolve) =>
      socket.once("close", resolve)
    );
    for (let i = 0; i < count; i++) {
      socket.write(
        `GET /read/${i} HTTP/1.1\r\nHost: test.example\r\n` +
          `Test-Request: p${i}\r\nTest-Deadline: 1500\r\n\r\n`,
      );
    }
    await until(() => world.system.receivedCount === count, "all requests run");
    const stopped = world.system.entries.get(entry)?.gateway.stop();
    await closed;
    await stopped;
  },
);

Then(
  "{int} answers arrive in order and only the last closes the connection",
  (count: number) => {
    const order = [...pipelinedText.matchAll(/body of p(\d)/g)].map(([, n]) =>
      Number(n)
    );
    assert.deepEqual(order, Array.from({ length: count }, (_, i) => i));
    assert.equal(
      pipelinedText.match(/connection: close/gi)?.length,
      1,
      pipelinedText,
    );
    assert.ok(
      pipelinedText.lastIndexOf("HTTP/1.1") <
        pipelinedText.search(/connection: close/i),
    );
  },
);
