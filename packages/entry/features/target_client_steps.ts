/**
 * Steps that send single attempts to a scripted target.
 */
import assert from "node:assert/strict";
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { newAttemptRecord, type Work } from "@bamboolane/entry/answer";
import {
  ATTEMPT_HEADER,
  TargetClient,
  type TargetResponse,
} from "@bamboolane/entry/target_client";
import { SteeringError } from "@bamboolane/errors/steering_error";
import {
  formatResponse,
  type ReceivedRequest,
  type Script,
  type ScriptedTarget,
  startScriptedTarget,
} from "@bamboolane/standins/scripted_target";
import { Outcome } from "@bamboolane/types/request";

const REFUSAL = { status: 503, header: "x-refused", value: "1" };
const CLOSE_TIMEOUT_MILLIS = 1000;

let target: ScriptedTarget | undefined;
let client: TargetClient | undefined;
let results: (TargetResponse | SteeringError)[] = [];
let endlessBytes = 0;
/** Why the last answer could not be read to its end. */
let readError: Error | undefined;
/** Body of the last answer. */
let lastBody = "";

After(async () => {
  client?.close();
  await target?.close();
  client = undefined;
  target = undefined;
});

async function startTarget(script: Script): Promise<void> {
  results = [];
  endlessBytes = 0;
  target = await startScriptedTarget({ script });
  client = new TargetClient(target.address, { slots: 1 });
}

function formatAnswer(kind: string, received: ReceivedRequest): string {
  const attempt = { [ATTEMPT_HEADER]: received.headers[ATTEMPT_HEADER] };
  return kind === "refusal"
    ? formatResponse(503, { ...attempt, "X-Refused": "1" }, "")
    : formatResponse(200, attempt, received.path);
}

Given(
  /^a target whose (answer|refusal) is followed by a late copy before the next answer$/,
  (kind: string) => {
    let previous = "";
    return startTarget((received, socket) => {
      socket.write(previous);
      previous ||= formatAnswer(kind, received);
      // The second request runs: its own answer comes after the copy.
      const own = received.path === "/0"
        ? previous
        : formatAnswer("answer", received);
      socket.write(own);
    });
  },
);

Given(
  /^a target that names no attempts, whose (answer|refusal) is followed by a late copy before the next answer$/,
  (kind: string) => {
    const first = kind === "refusal"
      ? formatResponse(503, { "X-Refused": "1" }, "")
      : formatResponse(200, {}, "/0");
    return startTarget((received, socket) => {
      if (received.path === "/0") return void socket.write(first);
      if (received.connection === 1) socket.write(first);
      socket.write(formatResponse(200, {}, received.path));
    });
  },
);

Given(
  "a target that names the attempt, and then sends a refusal that names none before the next answer",
  () =>
    startTarget((received, socket) => {
      if (received.path !== "/0") {
        socket.write(formatResponse(503, { "X-Refused": "1" }, ""));
      }
      socket.write(formatAnswer("answer", received));
    }),
);

Given(
  "a target whose health answer is followed by a late copy before the next answer",
  () => {
    const health = formatResponse(200, {}, '{"state":"serving"}');
    return startTarget((received, socket) => {
      if (received.path === "/health") return void socket.write(health);
      if (received.connection === 1) socket.write(health);
      socket.write(formatResponse(200, {}, received.path));
    });
  },
);

Given("a target of which nothing arrives", () => startTarget(() => {}));

Given("a target that names attempts", () =>
  startTarget((received, socket) => {
    socket.write(formatAnswer("answer", received));
  }));

async function sendEndlessly(socket: Socket): Promise<void> {
  const chunk = "x".repeat(65_536);
  socket.write(
    formatResponse(503, { "X-Refused": "1" }, "").replace(
      "Content-Length: 0",
      "Content-Length: 9000000000",
    ),
  );
  while (!socket.destroyed) {
    endlessBytes += chunk.length;
    socket.write(chunk);
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
}

Given(
  "a target that sends a refusal without end",
  () => startTarget((_received, socket) => sendEndlessly(socket)),
);

Given(
  "a target that sends an answer without a length and closes",
  () =>
    startTarget((_received, socket) => {
      socket.end("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole");
    }),
);

Given(
  "a target that sends half an answer without a length and resets",
  () =>
    startTarget((_received, socket) => {
      socket.write(
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf",
        () => socket.resetAndDestroy(),
      );
    }),
);

function makeWork(index: number): Work {
  const attempts = newAttemptRecord();
  attempts.dispatches = 1;
  return {
    info: { id: `r${index}`, method: "POST", path: `/${index}` },
    headers: [["host", "test.example"]],
    body: { kind: "whole", bytes: new Uint8Array() },
    deadlineMillis: Infinity,
    signal: new AbortController().signal,
    move: "",
    attempts,
  } as unknown as Work;
}

async function send(index: number): Promise<void> {
  assert.ok(client);
  try {
    const response = await client.send(makeWork(index), {
      signal: new AbortController().signal,
      remainingMillis: 1000,
      refusal: REFUSAL,
      drainHeader: "x-draining",
    });
    await readToEnd(response);
    results.push(response);
  } catch (error) {
    assert.ok(error instanceof SteeringError, String(error));
    results.push(error);
  }
}

/** The pool learns a moment later that a connection is free again. */
function connectionFreed(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, 20));
}

/** Reads the answer, so that its connection is used again. */
async function readToEnd(response: TargetResponse): Promise<void> {
  readError = undefined;
  lastBody = "";
  try {
    for await (const chunk of response.body) {
      lastBody += Buffer.from(chunk).toString("latin1");
    }
  } catch (error) {
    readError = error as Error;
  }
}

When("two requests are sent to it one after another", async () => {
  await send(0);
  await connectionFreed();
  await send(1);
});

When("a request is sent to it twice", async () => {
  await send(0);
  await connectionFreed();
  await send(0);
});

When("its health is checked, and then a request is sent to it", async () => {
  assert.ok(await client?.probe(1000), "the check failed");
  await connectionFreed();
  await send(1);
});

When("a request is sent to it", () => send(0));

When(
  "a request is sent to it, and its connection times out before the answer",
  async () => {
    const timeOut = (message: unknown) => {
      const { socket } = message as { socket: Socket };
      // As the system reports a peer that acknowledges nothing any more.
      const error = Object.assign(new Error("read ETIMEDOUT"), {
        code: "ETIMEDOUT",
        syscall: "read",
      });
      setImmediate(() => socket.destroy(error));
    };
    subscribe("undici:client:sendHeaders", timeOut);
    await send(0);
    unsubscribe("undici:client:sendHeaders", timeOut);
  },
);

Then("its outcome is unknown", () => {
  const [first] = results;
  assert.ok(first instanceof SteeringError, "it has an answer");
  assert.equal(first.outcome, Outcome.unknown);
});

Then("the outcome of the second one is unknown", () => {
  const second = results[1];
  assert.ok(second instanceof SteeringError, "it has no answer");
  assert.equal(second.outcome, Outcome.unknown);
});

Then(/^the (?:second one|request) got its own answer$/, () => {
  const last = results.at(-1);
  assert.ok(!(last instanceof SteeringError), String(last));
  assert.equal(lastBody, "/1");
});

Then("both requests reached the target on one connection", () => {
  const connections = target?.received.map(({ connection }) => connection);
  assert.deepEqual(connections, [1, 1]);
});

Then("the answer was read to its end", () => {
  assert.ok(!(results[0] instanceof SteeringError), String(results[0]));
  assert.equal(readError, undefined);
});

Then("reading the answer failed", () => {
  assert.ok(readError, "the answer looks complete");
});

Then("it was refused as not run", () => {
  const [first] = results;
  assert.ok(first instanceof SteeringError);
  assert.equal(first.outcome, Outcome.notRun);
});

Then(
  "the target's connection is closed after at most {int} kB",
  async (kilobytes: number) => {
    const endMillis = performance.now() + CLOSE_TIMEOUT_MILLIS;
    while (target?.abortedCount() === 0 && performance.now() < endMillis) {
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    assert.equal(target?.abortedCount(), 1);
    assert.ok(endlessBytes <= kilobytes * 1000, `${endlessBytes} bytes`);
  },
);
