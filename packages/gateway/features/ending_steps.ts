/**
 * Steps for requests and connections that are cut short by a stop, or by a malformed
 * request on their connection.
 */
import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { CallerConnection } from "@bamboolane/gateway/caller_connection";
import type { ScriptedTarget } from "@bamboolane/standins/scripted_target";
import {
  announcesClose,
  answersOf,
  connectTo,
  post,
  raw,
  type RawCaller,
  send,
  statusOf,
  untilAnswered,
  untilClosed,
} from "./support/raw_caller.ts";
import { gatewayOf, pause, world } from "./support/scenario.ts";
import { slowDownTurns, spin } from "./support/slow_turns.ts";
import { until, untilWithin } from "./support/test_gateway.ts";

const PIPELINE_INTERVAL_MILLIS = 50;
/** Time from the start of a stop until the listener closes. */
const LAME_DUCK_MILLIS = 2500;
const STALL_MILLIS = 60;
const SLOW_TURNS_MILLIS = 2000;
/** Time from the end of the stall until kept connections are used again. */
const KEPT_REQUEST_MILLIS = 100;
const SLOW_READ_MILLIS = 300;
const SLOW_REQUESTS_INTERVAL_MILLIS = 20;
/** Time after which the answers in these scenarios were written. */
const ANSWER_MILLIS = 150;
/** Requests with it fill the receive buffer of a connection that is not read. */
const LONG_HEADER = `Test-Padding: ${"x".repeat(2000)}\r\n`;

/** Ids of all requests that a target received. */
function receivedIds(): Set<string> {
  const targets: ScriptedTarget[] = [...world.system.targets.values()];
  return new Set(
    targets.flatMap(({ received }) =>
      received.map(({ headers }) => headers["test-request"])
    ),
  );
}

/** A caller sends something and waits for an answer. */
async function call(
  entry: string,
  write: (caller: RawCaller) => void,
): Promise<void> {
  const caller = connectTo(entry);
  raw.callers = [caller];
  write(caller);
  await until(() => answersOf(caller).length > 0, "the caller has an answer");
}

When(
  "a caller of {string} sends two Host lines",
  (entry: string) =>
    call(entry, (caller) => {
      send(caller, "/read/x", { headers: "Host: other.example\r\n" });
    }),
);

When(
  "a caller of {string} sends no Host line",
  (entry: string) =>
    call(entry, ({ socket }) => {
      socket.write("GET /read/x HTTP/1.1\r\nTest-Request: x\r\n\r\n");
    }),
);

When(
  "a caller of {string} sends an unknown expectation",
  (entry: string) =>
    call(entry, (caller) => {
      send(caller, "/read/x", { headers: "Expect: the-unexpected\r\n" });
    }),
);

Then("no entry found a target unreachable", () => {
  assert.doesNotMatch(world.system.logText, /target_unreachable/);
});

When(
  "{int} callers of {string} post {string}",
  async (count: number, entry: string, path: string) => {
    post(count, entry, path);
    await until(
      () => raw.callers.every((caller) => answersOf(caller).length > 0),
      "each caller has an answer",
    );
  },
);

When(
  "{int} callers of {string} post {string}, and {string} stops after {int} ms",
  async (
    count: number,
    entry: string,
    path: string,
    stopping: string,
    millis: number,
  ) => {
    post(count, entry, path);
    await pause(millis);
    await gatewayOf(stopping).stop();
    await Promise.all(raw.callers.map(untilClosed));
  },
);

Then("each caller got an answer", () => {
  const unanswered = raw.callers.filter((caller) =>
    answersOf(caller).length !== caller.sentIds.length
  );
  assert.equal(unanswered.length, 0, `of ${raw.callers.length}`);
});

Then("each caller got the status {int}", (status: number) => {
  assert.deepEqual(
    raw.callers.map((caller) => answersOf(caller).map(statusOf)),
    raw.callers.map(() => [status]),
  );
});

Then(
  "the requests that reached no target were refused with a Retry-After",
  () => {
    const reached = receivedIds();
    const others = raw.callers.filter(({ sentIds }) =>
      !reached.has(sentIds[0])
    );
    assert.ok(others.length > 0, "some requests were queued");
    for (const caller of others) {
      assert.equal(statusOf(caller.text), 503);
      assert.match(caller.text, /^retry-after: /im);
    }
  },
);

When(
  "{int} callers of {string} pipeline a request every {int} ms until they are told to stop, and {string} stops after {int} ms",
  async (
    count: number,
    entry: string,
    _intervalMillis: number,
    stopping: string,
    millis: number,
  ) => {
    raw.callers = Array.from({ length: count }, () => connectTo(entry));
    const timers = raw.callers.map((caller) =>
      setInterval(() => {
        if (caller.closed || announcesClose(answersOf(caller).at(-1))) return;
        send(caller, "/read/x");
      }, PIPELINE_INTERVAL_MILLIS)
    );
    await pause(millis);
    await gatewayOf(stopping).stop();
    await Promise.all(raw.callers.map(untilClosed));
    timers.forEach(clearInterval);
  },
);

Then(
  "each connection ended with an answer that announced the close",
  () => {
    for (const caller of raw.callers) {
      assert.equal(caller.error, undefined);
      assert.ok(announcesClose(answersOf(caller).at(-1)), caller.text);
    }
  },
);

Then("the targets received no request that was not answered", () => {
  const reached = receivedIds();
  for (const caller of raw.callers) {
    const sent = caller.sentIds.filter((id) => reached.has(id));
    const served = answersOf(caller).filter((text) => statusOf(text) === 200);
    assert.equal(served.length, sent.length);
  }
});

When(
  "a caller of {string} goes on sending requests behind one that it reads slowly, and {string} stops",
  async (entry: string, stopping: string) => {
    const caller = connectTo(entry);
    raw.callers = [caller];
    send(caller, "/read/x");
    await pause(50);
    caller.socket.pause();
    const stopped = gatewayOf(stopping).stop();
    const timer = setInterval(() => {
      if (!caller.closed) send(caller, "/read/x");
    }, 2);
    await pause(SLOW_READ_MILLIS);
    caller.socket.resume();
    await untilClosed(caller);
    clearInterval(timer);
    await stopped;
  },
);

When(
  "a caller of {string} goes on sending requests behind one whose answer it reads after {int} ms, and {string} stops",
  (entry: string, millis: number, stopping: string) =>
    sendBehindAnswer(entry, {
      readAfterMillis: millis,
      untilRead: () => gatewayOf(stopping).stop(),
    }),
);

When(
  "a caller of {string} goes on sending requests behind one whose answer it reads after {int} ms, and {string} stops while it accepts {int} others in turns of {int} ms",
  (
    entry: string,
    millis: number,
    stopping: string,
    count: number,
    turnMillis: number,
  ) =>
    sendBehindAnswer(entry, {
      readAfterMillis: millis,
      untilRead: async () => {
        const stopped = gatewayOf(stopping).stop();
        await pause(ANSWER_MILLIS);
        const others = Array.from({ length: count }, () => connectTo(entry));
        const slowTurns = slowDownTurns(turnMillis);
        await gatewayOf(entry).pacer.acceptWaiting({
          maxMillis: count * turnMillis,
          hasRoom: () => true,
        });
        slowTurns.stop();
        for (const { socket } of others) socket.destroy();
        await stopped;
      },
    }),
);

Then("all 400 kB of its answer arrive", () => {
  const [caller] = raw.callers;
  const body = caller.text.slice(caller.text.indexOf("\r\n\r\n") + 4);
  const dechunked = body.replace(/(?:^|\r\n)[0-9a-f]+\r\n/g, "").trimEnd();
  assert.equal(dechunked.length, 400_000);
});

/** A caller goes on sending requests behind one whose answer it reads late. */
async function sendBehindAnswer(
  entry: string,
  { readAfterMillis, untilRead }: {
    readAfterMillis: number;
    /** What the entry does meanwhile. */
    untilRead: () => Promise<void>;
  },
): Promise<void> {
  const caller = connectTo(entry);
  raw.callers = [caller];
  send(caller, "/read/x");
  await pause(50);
  caller.socket.pause();
  const isOver = untilRead();
  const timer = setInterval(() => {
    if (!caller.closed) send(caller, "/read/x", { headers: LONG_HEADER });
  }, SLOW_REQUESTS_INTERVAL_MILLIS);
  await pause(readAfterMillis);
  caller.socket.resume();
  await untilClosed(caller);
  clearInterval(timer);
  await isOver;
}

/** Callers connect in a stall, and turns of the event loop take some time after it. */
async function connectInStall(
  entry: string,
  { count, turnMillis, kept = [] }: {
    count: number;
    turnMillis: number;
    /** Callers on connections that were used before; they send a request then, too. */
    kept?: RawCaller[];
  },
): Promise<void> {
  const { graceMillis } = world.system.settings(entry);
  const stopped = gatewayOf(entry).stop();
  const closesAfterMillis = Math.min(LAME_DUCK_MILLIS, graceMillis / 2);
  await pause(closesAfterMillis - STALL_MILLIS / 2);
  raw.callers = Array.from({ length: count }, () => connectTo(entry));
  for (const caller of raw.callers) send(caller, "/read/x");
  spin(STALL_MILLIS);
  const slowTurns = slowDownTurns(turnMillis);
  await pause(KEPT_REQUEST_MILLIS);
  for (const caller of kept) send(caller, "/read/x");
  await stopped;
  await Promise.all([...raw.callers, ...kept].map(untilClosed));
  slowTurns.stop();
}

When(
  "{int} callers of {string} connect and send a request in a stall at whose end its listener closes",
  (count: number, entry: string) =>
    connectInStall(entry, { count, turnMillis: 0 }),
);

When(
  "{int} callers of {string} connect and send a request in a stall at whose end its listener closes, and turns of the event loop take {int} ms",
  (count: number, entry: string, turnMillis: number) =>
    connectInStall(entry, { count, turnMillis }),
);

/** Callers send to an entry that stops before it has read anything. */
async function sendUnread(
  entry: string,
  { count, stopping, connectAfterMillis = 0, sendAll }: {
    count: number;
    stopping: string;
    /** Time from the start of the stop; 0 if they connect before it. */
    connectAfterMillis?: number;
    sendAll: () => void;
  },
): Promise<void> {
  const { pacer } = gatewayOf(entry);
  if (connectAfterMillis > 0) {
    gatewayOf(stopping).stop();
    await pause(connectAfterMillis);
  }
  raw.callers = Array.from({ length: count }, () => connectTo(entry));
  await pause(KEPT_REQUEST_MILLIS);
  const { resumeInput } = CallerConnection.prototype;
  // Others are read first, or accepted, until the stop is over.
  CallerConnection.prototype.resumeInput = () => {};
  try {
    await pacer.acceptWaiting({ maxMillis: 0, hasRoom: () => false });
    sendAll();
    await gatewayOf(stopping).stop();
  } finally {
    CallerConnection.prototype.resumeInput = resumeInput;
  }
  await Promise.all(raw.callers.map(untilClosed));
}

When(
  "{int} callers of {string} send a request each while it reads nothing, and {string} stops",
  (count: number, entry: string, stopping: string) =>
    sendUnread(entry, {
      count,
      stopping,
      sendAll: () => {
        for (const caller of raw.callers) send(caller, "/read/x");
      },
    }),
);

When(
  "{int} callers of {string} go on sending while it reads nothing, and read the answers after {int} ms, and {string} stops",
  { timeout: 15_000 },
  async (count: number, entry: string, millis: number, stopping: string) => {
    let timer: NodeJS.Timeout | undefined;
    const sendAll = () => {
      for (const caller of raw.callers) {
        if (!caller.closed) send(caller, "/read/x");
      }
    };
    await sendUnread(entry, {
      count,
      stopping,
      // Before the limit for a head is over, the stop refuses them.
      connectAfterMillis: LAME_DUCK_MILLIS - 1000,
      sendAll: () => {
        for (const { socket } of raw.callers) socket.pause();
        timer = setInterval(sendAll, SLOW_REQUESTS_INTERVAL_MILLIS);
        setTimeout(() => {
          for (const { socket } of raw.callers) socket.resume();
        }, millis);
      },
    });
    clearInterval(timer);
  },
);

When(
  "{int} callers of {string} send a part of a head each, and {string} stops",
  async (count: number, entry: string, stopping: string) => {
    raw.callers = Array.from({ length: count }, () => connectTo(entry));
    for (const { socket } of raw.callers) socket.write("GET /read/x HTTP/1.1");
    await pause(KEPT_REQUEST_MILLIS);
    await gatewayOf(stopping).stop();
    await Promise.all(raw.callers.map(untilClosed));
  },
);

When(
  "{int} callers of {string} send a request each, and another one while it accepts {int} before its listener closes",
  async (keptCount: number, entry: string, count: number) => {
    const kept = Array.from({ length: keptCount }, () => connectTo(entry));
    for (const caller of kept) send(caller, "/read/x");
    await untilAnswered(kept, 1);
    await connectInStall(entry, { count, turnMillis: 2, kept });
    raw.callers = kept;
  },
);

When(
  "{int} callers of {string} send a request each, and another one while 4 callers connect and turns of the event loop take {int} ms",
  async (count: number, entry: string, turnMillis: number) => {
    raw.callers = Array.from({ length: count }, () => connectTo(entry));
    for (const caller of raw.callers) send(caller, "/read/x");
    await untilAnswered(raw.callers, 1);
    const slowTurns = slowDownTurns(turnMillis);
    // Each turn accepts one of them, so that reading pauses.
    const others = Array.from({ length: 4 }, () => connectTo(entry));
    await pause(KEPT_REQUEST_MILLIS);
    for (const caller of raw.callers) send(caller, "/read/x");
    await pause(SLOW_TURNS_MILLIS);
    slowTurns.stop();
    for (const { socket } of others) socket.destroy();
  },
);

Then("each of these callers got two answers", () => {
  const counts = raw.callers.map((caller) => answersOf(caller).length);
  assert.deepEqual(counts, counts.map(() => 2));
});

When(
  "a caller of {string} pipelines a request and a malformed one",
  async (entry: string) => {
    const caller = connectTo(entry);
    raw.callers = [caller];
    send(caller, "/read/x");
    caller.socket.write("this is not a request\r\n\r\n");
    await untilClosed(caller);
  },
);

When(
  "a caller of {string} pipelines a request and one whose chunks are malformed",
  async (entry: string) => {
    const caller = connectTo(entry);
    raw.callers = [caller];
    send(caller, "/read/x");
    send(caller, "/batch/x", {
      method: "POST",
      headers: "Transfer-Encoding: chunked\r\n",
      body: "zz\r\nnot a chunk\r\n",
    });
    await untilClosed(caller);
  },
);

Then("the caller got a {int} that closes its connection", (status: number) => {
  const answers = answersOf(raw.callers[0]);
  assert.deepEqual(answers.map(statusOf), [status]);
  assert.ok(announcesClose(answers[0]), answers[0]);
});

Then(
  "the caller got the answers {int} and {int}",
  (first: number, second: number) => {
    assert.deepEqual(answersOf(raw.callers[0]).map(statusOf), [first, second]);
  },
);

When(
  "a caller of {string} pipelines {int} requests and disconnects after {int} ms",
  async (entry: string, count: number, millis: number) => {
    const caller = connectTo(entry);
    for (let i = 0; i < count; i++) send(caller, "/read/x");
    await pause(millis);
    caller.socket.destroy();
  },
);

Then(
  "within {int} ms {int} connections to {string} are closed",
  (millis: number, count: number, id: string) => {
    const target = world.system.targets.get(id);
    return untilWithin(() => (target?.abortedCount() ?? 0) >= count, {
      seconds: millis / 1000,
      description: `${count} connections are closed`,
    });
  },
);
