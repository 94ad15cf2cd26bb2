/**
 * Steps that send requests and check the answers.
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { request } from "undici";
import { lastReply, scenario } from "./support/scenario.ts";
import {
  fetchTicket,
  type Reply,
  send,
  type SendOptions,
} from "./support/send_request.ts";
import { OPERATOR_TOKEN, waitUntil } from "./support/test_system.ts";

function splitList(list: string): string[] {
  return list.split(",").map((item) => item.trim());
}

function callerAddress(id: string): string {
  return scenario.system.entry(id).settings.listen.callers;
}

function operatorUrl(id: string): string {
  return `http://${scenario.system.entry(id).settings.listen.operators}`;
}

async function recordReply(reply: Promise<Reply>): Promise<void> {
  scenario.replies.push(await reply);
}

Given(
  "targets {string} that take {int} ms per request",
  async (ids: string, millis: number) => {
    for (const id of splitList(ids)) {
      await scenario.system.addTarget(id, {
        serviceMillis: [{ prefix: "/", millis }],
      });
    }
  },
);

Given(
  "entries {string} with the fleet published",
  { timeout: 60_000 },
  async (list: string) => {
    for (const item of splitList(list)) {
      const [id, , dataCentre] = item.split(" ");
      await scenario.system.addEntry(id, dataCentre);
    }
    await scenario.system.publish();
  },
);

let lookup: { entries: { id: string }[]; ttlSeconds: number; revision: number };

When(
  "a caller with client {string} asks {string} for a look-up",
  async (client: string, id: string) => {
    const url = `http://${
      callerAddress(id)
    }/v1/lookup?member=m1&service=s1&client=${client}`;
    lookup = await (await request(url)).body.json() as typeof lookup;
  },
);

Then(
  "{string} is listed first",
  (id: string) => assert.equal(lookup.entries[0].id, id),
);

Then(
  "the answer contains a time to live and revision {int}",
  (revision: number) => {
    assert.equal(lookup.revision, revision);
    assert.ok(lookup.ttlSeconds > 0);
  },
);

When(
  "a request for client {string} is sent to {string}",
  (client: string, id: string) =>
    recordReply(send(callerAddress(id), "/read/one", { client })),
);

Then("it is answered completely by target {string}", (target: string) => {
  const reply = lastReply();
  assert.equal(reply.code, 0, reply.text);
  const answer = JSON.parse(reply.text) as { path: string; target: string };
  assert.equal(answer.path, "/read/one");
  assert.equal(reply.headers["bamboolane-target"], target);
});

const INVALID_REQUESTS: Record<
  string,
  { path?: string; options: SendOptions; url?: string }
> = {
  "a path without a service": { url: "/v1/run/m1", options: {} },
  "an unknown member": { options: { member: "nobody" } },
  "an unknown service": { options: { service: "nothing" } },
  "a charge without a key": {
    path: "/charge",
    options: { method: "POST", body: "x" },
  },
  "a timeout that is no number": {
    options: { headers: { "bamboolane-timeout-millis": "soon" } },
  },
  "headers beyond the limit": {
    options: { headers: { "x-large": "x".repeat(10_000) } },
  },
  "a body beyond the limit": {
    path: "/read",
    options: { method: "POST", body: "x".repeat(1_000_001) },
  },
  "a forged ticket": {
    path: "/charge",
    options: { method: "POST", body: "x", key: "forged" },
  },
};

When(
  /^(a path without a service|an unknown member|an unknown service|a charge without a key|a timeout that is no number|headers beyond the limit|a body beyond the limit|a forged ticket) is sent to "(.+)"$/,
  async (name: string, id: string) => {
    const invalid = INVALID_REQUESTS[name];
    if (invalid.url !== undefined) {
      const reply = await request(`http://${callerAddress(id)}${invalid.url}/`);
      const body = await reply.body.json() as {
        result: string;
        outcome: string;
      };
      scenario.replies.push({
        ...body,
        status: 0,
        code: 1,
        text: "",
        headers: {},
      });
      return;
    }
    const { incarnation } =
      scenario.system.entry(id).running.membership.table.self;
    const key = invalid.options.key &&
      `bl1.${id}.${incarnation}.1.99999999.0123456789abcdef`;
    await recordReply(
      send(callerAddress(id), invalid.path ?? "/read/one", {
        ...invalid.options,
        key,
      }),
    );
  },
);

Then(
  "it is refused as {string} with outcome {string}",
  (result: string, outcome: string) => {
    const reply = lastReply();
    assert.deepEqual(
      [reply.result, reply.outcome],
      [result, outcome],
      reply.text,
    );
  },
);

Then("it is refused with outcome {string}", (outcome: string) => {
  const reply = lastReply();
  assert.notEqual(reply.code, 0);
  assert.equal(reply.outcome, outcome, reply.text);
});

When(
  "a body of {int} bytes is posted to the idempotent route at {string} for client {string}",
  (size: number, id: string, client: string) =>
    recordReply(
      send(callerAddress(id), "/read/echo", {
        method: "POST",
        body: "y".repeat(size),
        client,
      }),
    ),
);

Then("the answer echoes the complete body", () => {
  const reply = lastReply();
  assert.equal(reply.code, 0, reply.text.slice(0, 200));
  assert.equal(
    (JSON.parse(reply.text) as { echo: string }).echo,
    "y".repeat(300_000),
  );
});

Given(
  "target {string} takes {int} ms per request",
  (id: string, millis: number) => {
    scenario.system.target(id).behaviour.serviceMillis = [{
      prefix: "/",
      millis,
    }];
  },
);

async function sendAndDisconnect(
  address: string,
  path: string,
  init: SendOptions,
): Promise<void> {
  const abort = new AbortController();
  const countRuns = () => scenario.system.runCount(init.body ?? path);
  const before = countRuns();
  const disconnected = request(`http://${address}/v1/run/m1/s1${path}`, {
    method: init.method ?? "GET",
    headers: {
      "bamboolane-client": init.client ?? "10.1.0.1",
      ...(init.key === undefined ? {} : { "idempotency-key": init.key }),
    },
    body: init.body,
    signal: abort.signal,
  }).catch(() => undefined);
  await waitUntil(() => countRuns() > before);
  abort.abort();
  await disconnected;
}

When(
  "a caller sends a request for client {string} to {string} and disconnects",
  (client: string, id: string) =>
    sendAndDisconnect(callerAddress(id), "/read/left", { client }),
);

Then(
  "target {string} observes a cancellation",
  (id: string) => waitUntil(() => scenario.system.target(id).cancelled > 0),
);

When(
  "a request for client {string} with a timeout of {int} ms is sent to {string}",
  (client: string, millis: number, id: string) => {
    const headers = { "bamboolane-timeout-millis": String(millis) };
    return recordReply(
      send(callerAddress(id), "/read/late", { client, headers }),
    );
  },
);

Given("a ticket issued by {string}", async (id: string) => {
  scenario.ticket = await fetchTicket(callerAddress(id));
});

interface Charge {
  mark: string;
  key: string;
}

let charge: Charge = { mark: "", key: "" };

function sendCharge(
  id: string,
  options: Partial<SendOptions> = {},
): Promise<Reply> {
  const { mark, key } = charge;
  return send(callerAddress(id), "/charge", {
    method: "POST",
    body: mark,
    key,
    ...options,
  });
}

When(
  "a charge {string} is sent with the ticket to {string}",
  (mark: string, id: string) => {
    charge = { mark, key: scenario.ticket };
    return recordReply(sendCharge(id));
  },
);

When("a charge {string} is sent with key {string} to {string}", (
  mark: string,
  key: string,
  id: string,
) => {
  charge = { mark, key };
  return recordReply(sendCharge(id));
});

When(
  "a charge {string} is sent for the first time with key {string} to {string}",
  (
    mark: string,
    key: string,
    id: string,
  ) => {
    charge = { mark, key };
    return recordReply(sendCharge(id, { firstSend: true }));
  },
);

When(
  "the same charge is resent to {string}",
  (id: string) => recordReply(sendCharge(id)),
);

async function sendConcurrently(ids: string): Promise<void> {
  scenario.replies.push(
    ...await Promise.all(splitList(ids).map((id) => sendCharge(id))),
  );
}

When(
  "a charge {string} is sent with the ticket to {string} at once",
  (mark: string, ids: string) => {
    charge = { mark, key: scenario.ticket };
    return sendConcurrently(ids);
  },
);

When(
  "a charge {string} is sent with key {string} to {string} at once",
  (mark: string, key: string, ids: string) => {
    charge = { mark, key };
    return sendConcurrently(ids);
  },
);

function sendChargeAndDisconnect(id: string): Promise<void> {
  return sendAndDisconnect(callerAddress(id), "/charge", {
    method: "POST",
    body: charge.mark,
    key: charge.key,
  });
}

When(
  "a charge {string} is sent with the ticket to {string} and its caller disconnects",
  (mark: string, id: string) => {
    charge = { mark, key: scenario.ticket };
    return sendChargeAndDisconnect(id);
  },
);

When(
  "a charge {string} is sent with key {string} to {string} and its caller disconnects",
  (mark: string, key: string, id: string) => {
    charge = { mark, key };
    return sendChargeAndDisconnect(id);
  },
);

Then(
  /^(?:both|all) answers are the same and "(.+)" ran once$/,
  (mark: string) => {
    const texts = new Set(scenario.replies.map((r) => `${r.code} ${r.text}`));
    assert.equal(texts.size, 1, [...texts].join("\n"));
    assert.equal(lastReply().code, 0, lastReply().text);
    assert.equal(scenario.system.runCount(mark), 1);
  },
);

Then("it is answered and {string} ran once", (mark: string) => {
  assert.equal(lastReply().code, 0, lastReply().text);
  assert.equal(scenario.system.runCount(mark), 1);
});

Then("{string} ran {int} times", (mark: string, count: number) => {
  assert.equal(scenario.system.runCount(mark), count);
});

let calls: { status: number; text: string }[] = [];

When(
  "the operator interface of {string} is called without a token and with a wrong one",
  async (id: string) => {
    calls = [];
    for (const authorization of [undefined, "Bearer wrong-token-000000"]) {
      const headers = authorization === undefined ? {} : { authorization };
      const reply = await request(`${operatorUrl(id)}/v1/status`, { headers });
      calls.push({ status: reply.statusCode, text: await reply.body.text() });
    }
  },
);

Then("both calls are refused and disclose nothing", () => {
  assert.deepEqual(calls.map((c) => c.status), [401, 401]);
  for (const { text } of calls) assert.ok(!/a1|e2|revision/.test(text), text);
});

Then(
  "with the right token the status lists {int} instances",
  async (count: number) => {
    const headers = { authorization: `Bearer ${OPERATOR_TOKEN}` };
    const reply = await request(`${operatorUrl("e1")}/v1/status`, { headers });
    const status = await reply.body.json() as { instances: unknown[] };
    assert.equal(status.instances.length, count);
  },
);

let edits: PromiseSettledResult<unknown>[] = [];

When(
  "two operators edit revision 1 at {string} and {string} at once",
  { timeout: 30_000 },
  async (firstId: string, secondId: string) => {
    edits = await Promise.allSettled(
      [firstId, secondId].map((id) =>
        scenario.system.entry(id).running.actions.edit({
          edit: {
            kind: "drain-add",
            drain: {
              kind: "target",
              id: "a2-t1",
              owner: id,
              reason: `drained at ${id}`,
            },
          },
          changeId: `change-${id}`,
          baseRevision: 1,
        }, `operator-${id}`)
      ),
    );
  },
);

Then(
  "one edit is in force everywhere and the other is refused as a conflict that names both",
  async () => {
    const refused = edits.filter((e) => e.status === "rejected");
    assert.equal(refused.length, 1);
    assert.match(String(refused[0].reason), /change-e1/);
    assert.match(String(refused[0].reason), /change-e3/);
    await waitUntil(() =>
      [...scenario.system.entries.values()].every(({ running }) =>
        running.config.revision === 2
      )
    );
  },
);

Then(
  "explain at {string} returns home {string} and the chosen data centre {string} for it",
  async (id: string, home: string, chosen: string) => {
    const requestId = String(lastReply().headers["bamboolane-request"]);
    const headers = { authorization: `Bearer ${OPERATOR_TOKEN}` };
    const url = `${operatorUrl(id)}/v1/explain?request=${requestId}`;
    const answer = await (await request(url, { headers })).body.json() as {
      decisions: { home: string; chosen: string }[];
    };
    assert.deepEqual(answer.decisions.map((d) => [d.home, d.chosen]), [[
      home,
      chosen,
    ]]);
  },
);
