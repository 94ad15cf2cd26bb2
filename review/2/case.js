/**
 * One endpoint spoils one of its answers: the bytes look like an answer with the status
 * 000. The machine that reads them must go on answering all other requests.
 */
import { Buffer } from "node:buffer";
import process from "node:process";
import { Connection } from "../harness/client.js";
import { Deployment, pause, runCase } from "../harness/deployment.js";
import { Record } from "../harness/record.js";

const TROUBLE = process.env.TROUBLE !== "0";
const DEADLINE_MILLIS = 8000;
const TIMEOUT_MILLIS = 1500;
/** How long after its route's timeout a request may still be without an answer. */
const SLACK_MILLIS = 500;
const WORK_MILLIS = 500;
const CLIENTS = 16;
const TRAFFIC_MILLIS = 16_000;
/** The faulty endpoint answers so many requests properly before it spoils one. */
const PROPER_ANSWERS = 40;
/** From so many requests without an answer on the rule counts them. */
const MIN_COUNTED = 8;
const MAX_SHARE = 0.5;

const record = new Record();
let answers = 0;

/** Spoils a single answer, the first one after `PROPER_ANSWERS`. */
function spoil(id) {
  answers++;
  if (!TROUBLE || answers !== PROPER_ANSWERS + 1) return undefined;
  return Buffer.from(
    `HTTP/1.1 000 OK\r\nX-Bamboolane-Request-Id: ${id}\r\n` +
      `X-Bamboolane-Response-Signature: sig-${id}\r\n` +
      "Content-Length: 4\r\n\r\nspam",
  );
}

const deployment = new Deployment({
  record,
  machines: 3,
  services: [{
    name: "depot",
    endpoints: 6,
    slots: 6,
    work: () => ({ workMillis: WORK_MILLIS, bodyBytes: 5000 }),
    spoil: (index) => index === 0 ? spoil : undefined,
  }],
  routes: [{
    name: "r-depot",
    hostname: "review.example",
    prefix: "/depot/",
    type: "non_idempotent",
    timeout: `${TIMEOUT_MILLIS}ms`,
    target_latency: "1s",
    priority: 2,
    service: "depot",
    attempts: 2,
    session_affinity: false,
    allowed_regions: [],
  }],
});

/** Sends requests one after another on kept connections. */
async function call({ client, ids, endAt }) {
  const [machine] = deployment.list;
  let connection;
  for (let i = 1; performance.now() < endAt; i++) {
    if (!connection?.usable) {
      connection = new Connection(deployment.front(machine), { record });
    }
    const id = `d${client}-${i}`;
    ids.push(id);
    await connection.send({
      id,
      method: "POST",
      host: "review.example",
      path: `/depot/${id}`,
      deadlineMillis: DEADLINE_MILLIS,
      body: Buffer.alloc(300, "x"),
    });
    await pause(50);
  }
  connection.close();
}

async function play() {
  // The endpoints are no longer cold.
  await pause(3500);
  const ids = [];
  const endAt = performance.now() + TRAFFIC_MILLIS;
  await Promise.all(
    Array.from(
      { length: CLIENTS },
      (_, client) => call({ client, ids, endAt }),
    ),
  );
  const heldMillis = (request) =>
    (request.answeredAt ?? request.lostAt ?? record.now) - request.sentAt;
  const late = ids.map((id) => record.of(id)).filter((request) =>
    heldMillis(request) > TIMEOUT_MILLIS
  );
  const unanswered = late.filter((request) =>
    heldMillis(request) > TIMEOUT_MILLIS + SLACK_MILLIS
  );
  record.note(
    `${ids.length} requests, ${late.length} without an answer at their route's ` +
      `timeout, ${unanswered.length} also ${SLACK_MILLIS} ms later`,
  );
  if (
    unanswered.length < MIN_COUNTED ||
    unanswered.length <= MAX_SHARE * late.length
  ) return [];
  return unanswered.map((request) =>
    `CONFIG ${request.id}: timeout ${TIMEOUT_MILLIS} ms, held for ` +
    `${heldMillis(request).toFixed(0)} ms`
  );
}

await runCase({ recordFile: "review/2/record.txt", record, deployment, play });
