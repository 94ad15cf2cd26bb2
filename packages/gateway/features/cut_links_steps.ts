/**
 * Steps for entries whose links to targets are cut.
 */
import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { request } from "undici";
import {
  formatForwarded,
  FORWARDED_HEADER,
  RESULT_HEADER,
} from "@bamboolane/gateway/forwarding_headers";
import { parseLine } from "@bamboolane/logger/parse_line";
import { CuttableLink, type LinkCut } from "@bamboolane/standins/cuttable_link";
import {
  call,
  gatewayOf,
  pause,
  type Reply,
  world,
} from "./support/scenario.ts";
import { untilWithin } from "./support/test_gateway.ts";

const LOAD_INTERVAL_MILLIS = 20;
const LOAD_DEADLINE_MILLIS = 1500;
const LOAD_BEFORE_CUT_MILLIS = 300;
const SETTLE_MILLIS = 200;
const LOAD_TIMEOUT_MILLIS = 15_000;

/** Links by entry. */
const links = new Map<string, CuttableLink[]>();
/** Replies to the latest load; undefined for a connection that was closed. */
let loadReplies: (Reply | undefined)[] = [];

After(async () => {
  await Promise.all([...links.values()].flat().map((link) => link.close()));
  links.clear();
});

Given(
  "an entry {string} whose links to the targets can be cut",
  async (entry: string) => {
    const { store, targets } = world.system;
    const created = await Promise.all(
      [...targets.values()].map(async ({ address }) => {
        const link = await CuttableLink.start(address);
        store.setLink(entry, address, link.address);
        return link;
      }),
    );
    links.set(entry, created);
    await world.system.addEntry(entry, { hasRetryBudget: true });
  },
);

Given(
  "an entry {string} in data centre {string} of region {string}",
  (id: string, dataCentre: string, region: string) =>
    world.system.addEntry(id, { dataCentre, region }),
);

Given(
  "{string} knows within {int} s that {string} serves",
  { timeout: LOAD_TIMEOUT_MILLIS },
  (entry: string, seconds: number, peer: string) =>
    untilWithin(
      () => gatewayOf(entry).state.members.isServing(peer, performance.now()),
      { seconds, description: `${entry} knows ${peer}` },
    ),
);

/** Sends requests to an entry at a steady rate and waits for all replies. */
async function sendLoad(
  entry: string,
  millis: number,
): Promise<(Reply | undefined)[]> {
  const replies: Promise<Reply | undefined>[] = [];
  const endMillis = performance.now() + millis;
  while (performance.now() < endMillis) {
    const isWrite = replies.length % 2 === 1;
    replies.push(
      call(entry, `/${isWrite ? "write" : "read"}/${replies.length}`, {
        method: isWrite ? "POST" : "GET",
        deadlineMillis: LOAD_DEADLINE_MILLIS,
      }).catch(() => undefined),
    );
    await pause(LOAD_INTERVAL_MILLIS);
  }
  const settled = await Promise.all(replies);
  // What reached a target may be handled after its caller got an answer.
  await pause(SETTLE_MILLIS);
  assertWritesKeptTheirPromises(settled);
  return settled;
}

/** Fails if a write reached targets twice, or reached one and was refused. */
function assertWritesKeptTheirPromises(
  replies: readonly (Reply | undefined)[],
): void {
  const ids = new Set<string>();
  for (const { received } of world.system.targets.values()) {
    for (const { path, headers } of received) {
      if (!path.startsWith("/write/")) continue;
      const id = headers["test-request"];
      assert.ok(!ids.has(id), `${id} ran twice`);
      ids.add(id);
    }
  }
  for (const reply of replies) {
    const id = String(reply?.headers["sent-id"]);
    assert.ok(reply?.status !== 503 || !ids.has(id), `${id} got 503 and ran`);
  }
}

When(
  /^the links of "(\w+)" are cut so that they (hang|reset|refuse), under load for (\d+) ms$/,
  { timeout: LOAD_TIMEOUT_MILLIS },
  async (entry: string, cut: LinkCut, millis: string) => {
    const before = sendLoad(entry, LOAD_BEFORE_CUT_MILLIS);
    await pause(LOAD_BEFORE_CUT_MILLIS);
    await Promise.all((links.get(entry) ?? []).map((link) => link.cut(cut)));
    loadReplies = await sendLoad(entry, Number(millis));
    await before;
  },
);

When(
  "the links of {string} are back, under load for {int} ms",
  { timeout: LOAD_TIMEOUT_MILLIS },
  async (entry: string, millis: number) => {
    await Promise.all((links.get(entry) ?? []).map((link) => link.restore()));
    await sendLoad(entry, millis);
  },
);

Then(
  "{int} requests of each kind at {string} are answered with 200, each run once",
  async (count: number, entry: string) => {
    const before = world.system.receivedCount;
    for (let i = 0; i < count; i++) {
      const read = await call(entry, `/read/after-${i}`);
      const write = await call(entry, `/write/after-${i}`, { method: "POST" });
      assert.deepEqual([read.status, write.status], [200, 200]);
      assert.equal(write.body, `body of ${write.headers["sent-id"]}`);
    }
    assert.equal(world.system.receivedCount - before, 2 * count);
  },
);

Then(
  "{int} requests at a time at {string} are answered with 200",
  async (count: number, entry: string) => {
    const replies = await Promise.all(
      Array.from({ length: count }, (_, i) => call(entry, `/read/many-${i}`)),
    );
    assert.deepEqual([...new Set(replies.map(({ status }) => status))], [200]);
  },
);

/** Log lines of an event of one entry. */
function linesOf(entry: string, event: string): Map<string, string>[] {
  return world.system.logText.split("\n")
    .map((text) => parseLine(text))
    .filter((line) => line !== undefined)
    .filter((line) =>
      line.event === event && line.fields.get("instance") === entry
    )
    .map(({ fields }) => fields as Map<string, string>);
}

Then(
  "the log says that {string} forwarded them to {string}",
  (entry: string, peer: string) =>
    untilWithin(
      () =>
        linesOf(entry, "forward").some((fields) => fields.get("peer") === peer),
      { seconds: 2, description: "a forward is logged" },
    ),
);

Then(
  "at least {int} of {int} requests of that load were answered with 200",
  (served: number, of: number) => {
    const answered = loadReplies.filter((reply) => reply?.status === 200);
    assert.ok(
      answered.length * of >= served * loadReplies.length,
      `${answered.length} of ${loadReplies.length}`,
    );
  },
);

Then(
  "{string} sends its requests to targets itself",
  async (entry: string) => {
    const before = linesOf(entry, "forward").length;
    for (let i = 0; i < 10; i++) {
      assert.equal((await call(entry, `/read/back-${i}`)).status, 200);
    }
    await pause(100);
    assert.equal(linesOf(entry, "forward").length, before);
  },
);

async function assertRefusedAtOnce(
  entry: string,
  options: { path: string; millis: number },
): Promise<void> {
  const reply = await call(entry, options.path);
  assert.equal(reply.status, 503);
  assert.ok(Number(reply.headers["retry-after"]) > 0);
  assert.ok(reply.tookMillis < options.millis, `${reply.tookMillis} ms`);
}

Then(
  "a request at {string} is refused within {int} ms with a Retry-After",
  (entry: string, millis: number) =>
    assertRefusedAtOnce(entry, { path: "/read/x", millis }),
);

Then(
  "a request at {string} to {string} is refused within {int} ms with a Retry-After",
  (entry: string, path: string, millis: number) =>
    assertRefusedAtOnce(entry, { path, millis }),
);

Then(
  "a request at {string} to {string} is answered with 200",
  async (entry: string, path: string) =>
    assert.equal((await call(entry, path)).status, 200),
);

Then(
  "a request that is forwarded to {string} is refused there as not run",
  async (entry: string) => {
    const id = "forwarded-before";
    const answer = await request(
      `http://${world.system.settings(entry).listen.peers}/read/x`,
      {
        headers: {
          host: "test.example",
          "test-request": id,
          "test-deadline": "1000",
          [FORWARDED_HEADER]: formatForwarded({ sends: 0, elapsedMillis: 10 }),
        },
      },
    );
    await answer.body.dump();
    assert.equal(answer.statusCode, 503);
    assert.equal(answer.headers[RESULT_HEADER], "refused");
    await pause(100);
    const again = linesOf(entry, "forward").filter((fields) =>
      fields.get("request") === id
    );
    assert.deepEqual(again, []);
  },
);

Then("no request was forwarded more than once by each entry", async () => {
  await pause(100);
  for (const entry of links.keys()) {
    const ids = linesOf(entry, "forward").map((fields) =>
      `${fields.get("request")} to ${fields.get("peer")}`
    );
    assert.equal(new Set(ids).size, ids.length);
  }
  const first = new Set(
    linesOf("e1", "forward").map((fields) => fields.get("request")),
  );
  for (const fields of linesOf("e3", "forward")) {
    assert.ok(!first.has(fields.get("request")), "a forward came back");
  }
});

Then("no request is held back at {string}", async (entry: string) => {
  await pause(200);
  assert.deepEqual(linesOf(entry, "held_back"), []);
  assert.deepEqual(
    gatewayOf(entry).state.crashes.listSuspects(performance.now()),
    [],
  );
});
