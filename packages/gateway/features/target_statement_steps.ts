/**
 * Steps for targets that say in their answers that they leave, or that turn requests
 * away for a time.
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { parseRetryAfter } from "@bamboolane/gateway/parse_retry_after";
import { StateTable } from "@bamboolane/gateway/state_store";
import { formatResponse } from "@bamboolane/standins/scripted_target";
import { answersOf, post, raw } from "./support/raw_caller.ts";
import {
  call,
  gatewayOf,
  lastReply,
  pause,
  world,
} from "./support/scenario.ts";
import {
  answerValidly,
  bodyOf,
  signedHeaders,
} from "./support/target_answers.ts";
import { until, untilWithin } from "./support/test_gateway.ts";

/** What a target says in its answers. */
interface Statements {
  leaves: boolean;
  /** Retry-After of its refusals; undefined while it takes requests. */
  retryAfter: string | undefined;
  namesRequests: boolean;
  workMillis: number;
  /** Requests under way when each request arrived. */
  inFlightAtArrival: number[];
}

const statements = new Map<string, Statements>();
const MILLIS_PER_SECOND = 1000;
/** Work time of a target that joins; long enough for others to be preferred under load. */
const JOINING_WORK_MILLIS = 40;

async function addTarget(
  id: string,
  options: Partial<Statements>,
): Promise<void> {
  const target: Statements = {
    leaves: false,
    retryAfter: undefined,
    namesRequests: true,
    workMillis: 0,
    inFlightAtArrival: [],
    ...options,
  };
  statements.set(id, target);
  let inFlight = 0;
  await world.system.addTarget(id, async (received, socket) => {
    target.inFlightAtArrival.push(inFlight++);
    await pause(target.workMillis);
    inFlight--;
    const { "Test-Request": requestId, ...headers } = signedHeaders(received);
    const named = target.namesRequests ? { "Test-Request": requestId } : {};
    if (target.retryAfter !== undefined) {
      socket.write(
        formatResponse(503, {
          ...named,
          "Test-Not-Run": "1",
          "Retry-After": target.retryAfter,
        }, ""),
      );
      return;
    }
    const leaving = target.leaves ? { "Test-Leaving": "1" } : {};
    socket.write(
      formatResponse(
        200,
        { ...named, ...headers, ...leaving },
        bodyOf(received),
      ),
      // Each request of a target that names none gets a connection of its own.
      () => target.namesRequests ? undefined : socket.end(),
    );
  });
}

function statementsOf(id: string): Statements {
  const target = statements.get(id);
  assert.ok(target, `${id} makes no statements`);
  return target;
}

Given(
  "a target {string} that leaves",
  (id: string) => addTarget(id, { leaves: true }),
);

Given(
  "a target {string} that leaves and answers after {int} ms",
  (id: string, workMillis: number) =>
    addTarget(id, { leaves: true, workMillis }),
);

Given(
  "a target {string} that leaves, in answers that name no request",
  (id: string) => addTarget(id, { leaves: true, namesRequests: false }),
);

Given(
  "a target {string} that turns requests away with a Retry-After of {string}",
  (id: string, retryAfter: string) => addTarget(id, { retryAfter }),
);

When("{string} loses the store", (entry: string) => {
  world.system.store.setUnavailable(entry, true);
});

When(
  "{string} no longer leaves, with a new incarnation",
  async (id: string) => {
    statementsOf(id).leaves = false;
    world.system.writeTarget(id, false, { bornMillis: 2 });
    await until(
      () =>
        [...world.system.entries.values()].every(({ gateway }) =>
          gateway.state.targets.get(id)?.record.bornMillis === 2
        ),
      "the entries know the new incarnation",
    );
  },
);

When(
  "the record of {string} says again that it is ready",
  async (id: string) => {
    const { state } = gatewayOf("e1");
    const before = state.targets.get(id)?.version ?? 0;
    world.system.writeTarget(id, false);
    await until(
      () => (state.targets.get(id)?.version ?? 0) > before,
      "the entry has read the record",
    );
  },
);

When(
  "the record of {string} is removed and comes back",
  async (id: string) => {
    const { state } = gatewayOf("e1");
    world.system.store.put(StateTable.targets, {
      kind: "target",
      id,
      record: undefined,
    });
    await until(() => state.targets.get(id) === undefined, "it is removed");
    world.system.writeTarget(id, false);
    await until(() => state.targets.get(id) !== undefined, "it is back");
  },
);

let receivedBefore = 0;

/** Lets callers post, does something a little later, and waits for all answers. */
async function postAll(
  count: number,
  request: { entry: string; path: string; afterMillis: number },
  action: () => void,
): Promise<void> {
  post(count, request.entry, request.path);
  await pause(request.afterMillis);
  action();
  await until(
    () => raw.callers.every((caller) => answersOf(caller).length > 0),
    "each caller has an answer",
  );
}

When(
  "{int} callers of {string} post {string}, and {string} leaves {int} ms later",
  async (
    count: number,
    entry: string,
    path: string,
    id: string,
    millis: number,
  ) => {
    receivedBefore = statementsOf(id).inFlightAtArrival.length;
    await postAll(count, { entry, path, afterMillis: millis }, () => {
      statementsOf(id).leaves = true;
    });
  },
);

When(
  "{int} callers of {string} post {string}, and {string} asks for a pause of {int} s {int} ms later",
  async (
    count: number,
    entry: string,
    path: string,
    id: string,
    seconds: number,
    millis: number,
  ) => {
    const { state } = gatewayOf(entry);
    await postAll(count, { entry, path, afterMillis: millis }, () => {
      const target = state.targets.get(id);
      target?.requestPause(seconds * MILLIS_PER_SECOND, performance.now());
    });
  },
);

Then(
  "{string} received at most {int} requests since",
  (id: string, max: number) => {
    const count = statementsOf(id).inFlightAtArrival.length - receivedBefore;
    assert.ok(count <= max, `${count}`);
  },
);

Then(
  /^"(\w+)" received at most (\d+) requests?$/,
  (id: string, max: string) => {
    const count = world.system.targets.get(id)?.received.length ?? 0;
    assert.ok(count <= Number(max), `${count}`);
  },
);

Then(
  "within {int} s all entries know that {string} leaves",
  (seconds: number, id: string) =>
    untilWithin(
      () =>
        [...world.system.entries.values()].every(({ gateway }) =>
          gateway.state.targets.get(id)?.saysLeaving === true
        ),
      { seconds, description: `all entries know that ${id} leaves` },
    ),
);

Then("no entry logged that {string} leaves", (id: string) => {
  const lines = world.system.logText.split("\n").filter((line) =>
    line.includes("event=target_leaving") && line.includes(`target=${id} `)
  );
  assert.deepEqual(lines, []);
});

When(
  "a target {string} joins",
  async (id: string) => {
    await world.system.addTarget(id, async (received, socket) => {
      await pause(JOINING_WORK_MILLIS);
      answerValidly(received, socket);
    });
    const { state } = gatewayOf("e1");
    await until(() => state.targets.get(id) !== undefined, `${id} is known`);
  },
);

Then("at least {int} callers were served", (min: number) => {
  const served = world.replies.filter(({ status }) => status === 200).length;
  assert.ok(served >= min, `${served}`);
});

When("{string} takes requests again", (id: string) => {
  statementsOf(id).retryAfter = undefined;
});

Then(
  "{string} gets a request within {int} s of calls to {string}",
  (id: string, seconds: number, entry: string) => {
    const before = world.system.targets.get(id)?.received.length ?? 0;
    return untilWithin(async () => {
      await Promise.all(
        Array.from({ length: 8 }, () => call(entry, "/read/x")),
      );
      return (world.system.targets.get(id)?.received.length ?? 0) > before;
    }, { seconds, description: `${id} gets a request` });
  },
);

Then(
  "the answer is {int} within {int} ms, with a Retry-After of {int} to {int} ms",
  (status: number, maxMillis: number, min: number, max: number) => {
    const reply = lastReply();
    assert.equal(reply.status, status);
    assert.ok(reply.tookMillis <= maxMillis, `${reply.tookMillis} ms`);
    const millis = Number(reply.headers["retry-after"]) * MILLIS_PER_SECOND;
    assert.ok(millis >= min && millis <= max, `${millis} ms`);
  },
);

Then("{string} received one request alone when the pause was over", (
  id: string,
) => {
  // The first one is the refusal that asked for the pause.
  const [, first, second] = statementsOf(id).inFlightAtArrival;
  assert.equal(first, 0);
  assert.equal(second, 0);
});

Then(
  "a Retry-After of {string} means {word} ms",
  (header: string, millis: string) => {
    const parsed = parseRetryAfter(formatHeader(header), NOW_MILLIS);
    assert.equal(parsed, Number(millis));
  },
);

Then("a Retry-After of {string} means nothing", (header: string) => {
  assert.equal(parseRetryAfter(header, NOW_MILLIS), undefined);
});

const NOW_MILLIS = Date.UTC(2026, 11, 5, 12, 0, 0);

/** Writes out dates that a feature describes. */
function formatHeader(header: string): string {
  const date = new Date(NOW_MILLIS + 90_000).toUTCString();
  switch (header) {
    case "in 90 s as a date":
      return date;
    case "in 90 s as an obsolete date":
      return date.replace("Sat, 05 Dec 2026", "Saturday, 05-Dec-26");
    default:
      return header;
  }
}
