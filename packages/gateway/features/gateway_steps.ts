/**
 * Steps that send requests through gateways on real sockets.
 */
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import { request } from "undici";
import { StateTable } from "@bamboolane/gateway/state_store";
import {
  formatAnswer,
  type Script,
  type SeenRequest,
} from "@bamboolane/standins/scripted_target";
import type { RunningGateway } from "@bamboolane/gateway/start_gateway";
import {
  testConfig,
  type TestEntry,
  TestGateway,
  until,
} from "./support/test_gateway.ts";

interface Reply {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: string;
  tookMillis: number;
}

let system: TestGateway;
let replies: Reply[] = [];
let raw = "";
let crashes = 0;
let nextId = 0;

Before({ tags: "not @none" }, () => {
  replies = [];
  raw = "";
  crashes = 0;
});

After(async () => {
  await system?.close();
});

function lastReply(): Reply {
  return replies[replies.length - 1];
}

function bodyOf(seen: SeenRequest): string {
  return `body of ${seen.headers["test-request"]}`;
}

function signed(seen: SeenRequest): Record<string, string> {
  return {
    "Test-Request": seen.headers["test-request"],
    "Test-Signature": "sound",
    "Test-Load": "1,0,3",
  };
}

function answerSoundly(seen: SeenRequest, socket: Socket): void {
  socket.write(formatAnswer(200, signed(seen), bodyOf(seen)));
}

const pause = (millis: number) =>
  new Promise<void>((resolve) => setTimeout(resolve, millis));

const scripts: Record<string, Script> = {
  "answers": answerSoundly,
  "closes without an answer": (_seen, socket) => {
    socket.destroy();
  },
  "refuses without running": (_seen, socket) => {
    socket.write(formatAnswer(503, { "Test-Not-Run": "1" }, ""));
  },
  "answers 503 after running": (seen, socket) => {
    socket.write(formatAnswer(503, signed(seen), "failed"));
  },
  "answers without a signature": (seen, socket) => {
    socket.write(
      formatAnswer(200, { "Test-Request": seen.headers["test-request"] }, "x"),
    );
  },
  "answers with an encoding": (seen, socket) => {
    const headers = { ...signed(seen), "Content-Encoding": "gzip" };
    socket.write(formatAnswer(200, headers, "x"));
  },
  "answers another request": (seen, socket) => {
    const headers = { ...signed(seen), "Test-Request": "somebody-else" };
    socket.write(formatAnswer(200, headers, "x"));
  },
  "resets in the middle of an answer with a length": (seen, socket) => {
    const answer = formatAnswer(200, signed(seen), bodyOf(seen));
    socket.write(answer.slice(0, -3), () => socket.resetAndDestroy());
  },
  "resets at the end of an answer without a length": (seen, socket) => {
    socket.write(unframed(seen).slice(0, -3), () => socket.resetAndDestroy());
  },
  "sends bytes that are no answer": (_seen, socket) => {
    socket.write("\x16\x03\x01 not an answer\r\n\r\n");
  },
  "answers without a length": (seen, socket) => {
    socket.end(unframed(seen));
  },
  "answers twice": (seen, socket) => {
    const answer = formatAnswer(200, signed(seen), bodyOf(seen));
    socket.write(answer + answer);
  },
  "never answers": () => new Promise<void>(() => {}),
  "answers slowly at first": async (seen, socket) => {
    await pause(seen.path.endsWith("/0") ? 150 : 5);
    answerSoundly(seen, socket);
  },
  "answers after 400 ms": async (seen, socket) => {
    await pause(400);
    answerSoundly(seen, socket);
  },
};

function unframed(seen: SeenRequest): string {
  const lines = Object.entries(signed(seen)).map(([name, value]) =>
    `${name}: ${value}\r\n`
  );
  return `HTTP/1.1 200 X\r\n${lines.join("")}Connection: close\r\n\r\n` +
    bodyOf(seen);
}

Given("a store with a route of each kind", () => {
  system = new TestGateway();
  system.publish(testConfig(5));
});

Given(
  /^a target "(\w+)" that (answers|closes without an answer|refuses without running|answers .*|resets .*|sends bytes .*|never answers)$/,
  async (id: string, what: string) => {
    const script = scripts[what];
    assert.ok(script, `no script for "${what}"`);
    await system.addTarget(id, script);
  },
);

Given("a target {string} that crashes", async (id: string) => {
  await system.addTarget(id, async (_seen, socket) => {
    crashes++;
    const closed = system.targets.get(id)?.close();
    socket.destroy();
    await closed;
  });
});

Given("an entry {string}", (id: string) => system.addEntry(id));

Given(
  "an entry {string} that may repeat",
  (id: string) => system.addEntry(id, { mayRepeat: true }),
);

Given(
  "an entry {string} that can't reach the store",
  (id: string) => system.addEntry(id, { down: true }),
);

Given(
  "an entry {string} that can't reach the store, with {string} as seed",
  (id: string, seed: string) =>
    system.addEntry(id, { down: true, seeds: [seed] }),
);

Given(
  "an entry {string} in data centre {string}",
  (id: string, dataCentre: string) => system.addEntry(id, { dataCentre }),
);

Given(
  "entries {string} and {string} that start together",
  async (first: string, second: string) => {
    await Promise.all([system.addEntry(first), system.addEntry(second)]);
  },
);

interface CallOptions {
  method?: "GET" | "POST";
  deadlineMillis?: number;
  headers?: Record<string, string>;
  body?: string;
}

async function call(
  entry: string,
  path: string,
  options: CallOptions = {},
): Promise<Reply> {
  const startMillis = performance.now();
  const id = `r${nextId++}`;
  const reply = await request(
    `http://${system.settings(entry).listen.callers}${path}`,
    {
      method: options.method ?? "GET",
      headers: {
        host: "test.example",
        "test-request": id,
        "test-deadline": String(options.deadlineMillis ?? 1500),
        ...options.headers,
      },
      body: options.body ?? null,
    },
  );
  const body = await reply.body.text();
  return {
    status: reply.statusCode,
    headers: { ...reply.headers, "sent-id": id },
    body,
    tookMillis: performance.now() - startMillis,
  };
}

When(
  "a caller of {string} gets {string} with {int} ms left",
  async (entry: string, path: string, deadlineMillis: number) => {
    replies.push(await call(entry, path, { deadlineMillis }));
  },
);

When(
  "a caller of {string} gets {string} {int} times in turn",
  async (entry: string, path: string, times: number) => {
    for (let i = 0; i < times; i++) replies.push(await call(entry, path));
  },
);

When(
  "a caller of {string} posts {string}",
  async (entry: string, path: string) => {
    replies.push(await call(entry, path, { method: "POST", body: "one" }));
  },
);

When(
  /^a caller of "(\w+)" sends (an unknown path|too long headers|too long a body)$/,
  async (entry: string, what: string) => {
    const sent: Record<string, () => Promise<Reply>> = {
      "an unknown path": () => call(entry, "/nowhere/x"),
      "too long headers": () =>
        call(entry, "/read/x", { headers: { filler: "x".repeat(5000) } }),
      "too long a body": () =>
        call(entry, "/write/x", { method: "POST", body: "x".repeat(10_001) }),
    };
    replies.push(await sent[what]());
  },
);

When(
  "a caller of {string} leaves after {int} ms",
  async (entry: string, millis: number) => {
    const { callers } = system.settings(entry).listen;
    const [host, port] = callers.split(":");
    const socket = connect({ host, port: Number(port) });
    socket.write(
      "GET /read/x HTTP/1.1\r\nHost: test.example\r\nTest-Request: gone\r\n" +
        "Test-Deadline: 5000\r\n\r\n",
    );
    await until(() => system.seenCount > 0, "the target has the request");
    await pause(millis);
    socket.destroy();
  },
);

When(
  "a caller of {string} pipelines {int} requests",
  async (entry: string, count: number) => {
    const [host, port] = system.settings(entry).listen.callers.split(":");
    const socket = connect({ host, port: Number(port) });
    socket.on("data", (chunk) => raw += chunk.toString());
    for (let i = 0; i < count; i++) {
      socket.write(
        `GET /read/${i} HTTP/1.1\r\nHost: test.example\r\n` +
          `Test-Request: p${i}\r\nTest-Deadline: 1500\r\n\r\n`,
      );
    }
    await until(() => raw.includes(`body of p${count - 1}`), "all answers");
    socket.destroy();
  },
);

/** Waits until an entry has seen what the store says now. */
async function settle(entry: string, check: () => boolean): Promise<void> {
  await until(check, `${entry} follows the store`);
}

When("{string} reports that it drains", async (id: string) => {
  system.writeTarget(id, true);
  for (const [name, { gateway }] of system.entries) {
    await settle(
      name,
      () => gateway.state.targets.get(id)?.isLeaving() ?? false,
    );
  }
});

When("data centre {string} is evacuated", async (dataCentre: string) => {
  system.store.put(StateTable.operator, {
    kind: "evacuation",
    dataCentre,
    active: true,
  });
  for (const [name, { gateway }] of system.entries) {
    await settle(name, () => gateway.state.isEvacuated(dataCentre));
  }
});

When(
  "revision {int} drops the route {string}",
  async (revision: number, prefix: string) => {
    system.publish(testConfig(revision, [prefix]));
    for (const [name, { gateway }] of system.entries) {
      await settle(name, () => gateway.state.config?.revision === revision);
    }
  },
);

When(
  "revision {int} with all routes is written again",
  async (revision: number) => {
    system.publish(testConfig(revision));
    await pause(400);
  },
);

When(
  "the store forgets its history while {string} drains",
  async (id: string) => {
    system.writeTarget(id, true);
    system.store.compact();
    for (const [name, { gateway }] of system.entries) {
      await settle(
        name,
        () => gateway.state.targets.get(id)?.isLeaving() ?? false,
      );
    }
  },
);

When(
  "the store refuses {string} and revision {int} drops the route {string}",
  async (entry: string, revision: number, prefix: string) => {
    // Both know each other before the store turns one away.
    await until(
      async () => (await system.namesOf(entry)).length === 2,
      "peers",
    );
    system.store.setDown(entry, true);
    system.publish(testConfig(revision, [prefix]));
  },
);

When(
  "{string} stops while a caller waits for {string}",
  async (entry: string, path: string) => {
    const waiting = call(entry, path);
    await until(() => system.seenCount > 0, "the target has the request");
    const stopped = system.entries.get(entry)?.gateway.stop();
    await pause(50);
    const { readiness } = system.settings(entry).listen;
    const ready = await request(`http://${readiness}/ready`);
    await ready.body.dump();
    assert.equal(ready.statusCode, 503);
    replies.push(await waiting);
    await stopped;
  },
);

When(
  "a caller of {string} gets the same poisonous request {int} times",
  async (entry: string, times: number) => {
    for (let i = 0; i < times; i++) {
      replies.push(await call(entry, "/read/poison"));
      // Time for the check whether the target is gone.
      await pause(100);
      if (crashes >= 2) break;
    }
    replies.push(await call(entry, "/read/poison"));
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
    assert.equal(reply.headers["test-signature"], "sound");
    assert.equal(reply.headers["test-load"], undefined);
    assert.equal(reply.body, `body of ${reply.headers["sent-id"]}`);
  },
);

Then("each answer is {int} with its own body", (status: number) => {
  for (const reply of replies) {
    assert.equal(reply.status, status);
    assert.equal(reply.body, `body of ${reply.headers["sent-id"]}`);
  }
});

Then(
  "the answer is {int} after the route's {int} ms",
  (status: number, millis: number) => {
    const reply = lastReply();
    assert.equal(reply.status, status);
    // The rule allows half a second beyond the timeout.
    assert.ok(
      reply.tookMillis >= millis - 5 && reply.tookMillis < millis + 500,
    );
  },
);

Then("the answer is {int} and closes the connection", (status: number) => {
  assert.equal(lastReply().status, status);
  assert.equal(lastReply().headers.connection, "close");
});

Then("{string} is not ready any more", async (entry: string) => {
  const { callers } = system.settings(entry).listen;
  await assert.rejects(request(`http://${callers}/read/x`));
});

Then(
  "{string} saw its own id and at most {int} ms",
  (id: string, most: number) => {
    const seen = system.targets.get(id)?.seen[0] as SeenRequest;
    assert.equal(seen.headers["test-target"], id);
    const left = Number(seen.headers["test-deadline"]);
    assert.ok(left > 0 && left <= most, `${left}`);
  },
);

Then("{string} saw {int} requests", (id: string, count: number) => {
  assert.equal(system.targets.get(id)?.seen.length, count);
});

Then("{string} saw at least {int} request", (id: string, count: number) => {
  assert.ok((system.targets.get(id)?.seen.length ?? 0) >= count);
});

Then("the targets saw at most {int} requests", (most: number) => {
  assert.ok(system.seenCount >= 1 && system.seenCount <= most);
});

Then("the targets' connections were dropped", async () => {
  const dropped = () =>
    [...system.targets.values()].reduce((n, t) => n + t.dropped(), 0);
  await until(() => dropped() > 0, "the connection is closed");
});

Then("{int} answers come in order", (count: number) => {
  const order = [...raw.matchAll(/body of p(\d)/g)].map(([, n]) => Number(n));
  assert.deepEqual(order, Array.from({ length: count }, (_, i) => i));
});

Then(
  "{string} answers {int} to {string} within {int} s",
  (entry: string, status: number, path: string, _seconds: number) =>
    until(
      async () => (await call(entry, path)).status === status,
      `${entry} answers ${status}`,
    ),
);

Then(
  "the directories of both name both within {int} s",
  async (_seconds: number) => {
    const all = [...system.entries.values()].map(({ settings }) =>
      settings.listen.callers
    ).sort();
    for (const entry of system.entries.keys()) {
      await until(
        async () => (await system.namesOf(entry)).join() === all.join(),
        `${entry} names both`,
      );
    }
  },
);

Then(
  "at most {int} targets crashed and the last answer is {int}",
  (most: number, status: number) => {
    assert.ok(crashes >= 1 && crashes <= most, `${crashes}`);
    assert.equal(lastReply().status, status);
  },
);

Then(
  "only {string} and {string} watch the store within {int} s",
  (first: string, second: string, _seconds: number) =>
    until(
      () => system.store.watchers().join() === `${first},${second}`,
      `${first} and ${second} watch`,
    ),
);

Then(
  "{string} knows within {int} s that {string} drains",
  async (entry: string, seconds: number, target: string) => {
    const startMillis = performance.now();
    const { state } = gatewayOf(entry);
    await until(
      () => state.targets.get(target)?.isLeaving() ?? false,
      `${entry} knows`,
    );
    assert.ok(performance.now() - startMillis < seconds * 1000);
  },
);

When(
  "the store turns {string} and {string} away",
  (first: string, second: string) => {
    system.store.setDown(first, true);
    system.store.setDown(second, true);
  },
);

When("{string} falls silent", async (entry: string) => {
  await gatewayOf(entry).stop();
  system.entries.delete(entry);
});

function gatewayOf(entry: string): RunningGateway {
  return (system.entries.get(entry) as TestEntry).gateway;
}

/** Callers' addresses that a directory should name. */
function addressesOf(entries: Iterable<string>): string {
  return [...entries].map((id) => system.settings(id).listen.callers)
    .sort().join();
}

Then(
  "the directory of {string} names all {int} entries within {int} s",
  (entry: string, count: number, _seconds: number) =>
    until(async () => {
      const names = await system.namesOf(entry);
      return names.length === count &&
        names.join() === addressesOf(system.entries.keys());
    }, `${entry} names all`),
);

Then(
  "the directory of {string} names {string} and {string} within {int} s",
  (entry: string, first: string, second: string, _seconds: number) =>
    until(
      async () =>
        (await system.namesOf(entry)).join() === addressesOf([first, second]),
      `${entry} names ${first} and ${second}`,
    ),
);

When(
  "the store is away while the record of {string} lapses",
  async (target: string) => {
    for (const entry of system.entries.keys()) {
      system.store.setDown(entry, true);
    }
    system.store.put(StateTable.targets, {
      kind: "target",
      id: target,
      record: undefined,
    });
    // The followers notice the outage before it ends.
    await pause(100);
  },
);

When("the store is back for {string}", async (entry: string) => {
  const { state } = gatewayOf(entry);
  const before = state.storeBackAtMillis;
  system.store.setDown(entry, false);
  await until(() => state.storeBackAtMillis > before, "the store is back");
});

Then(
  "{string} answers {int} to {string} for {int} s",
  async (entry: string, status: number, path: string, seconds: number) => {
    const endMillis = performance.now() + seconds * 1000;
    while (performance.now() < endMillis) {
      assert.equal((await call(entry, path)).status, status);
      await pause(50);
    }
  },
);

Then(
  "{string} is gone for {string} within {int} s",
  (target: string, entry: string, _seconds: number) =>
    until(
      () => gatewayOf(entry).state.targets.get(target) === undefined,
      `${target} is gone`,
    ),
);
