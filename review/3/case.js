/**
 * A machine is stopped with SIGTERM while accepted requests wait in its queue. Every
 * request that it has read must get a complete answer, or run out of time.
 */
import { Buffer } from "node:buffer";
import process from "node:process";
import { Connection } from "../harness/client.js";
import {
  Deployment,
  GRACE_MILLIS,
  pause,
  runCase,
} from "../harness/deployment.js";
import { Record } from "../harness/record.js";

const TROUBLE = process.env.TROUBLE !== "0";
const LOSS_SLACK_MILLIS = 200;
const DEADLINE_MILLIS = 15_000;
const WORK_MILLIS = 3400;
const CLIENTS = 24;

const record = new Record();
const deployment = new Deployment({
  record,
  machines: 3,
  services: [{
    name: "reports",
    endpoints: 2,
    slots: 3,
    work: () => ({ workMillis: WORK_MILLIS, bodyBytes: 500 }),
  }],
  routes: [{
    name: "r-reports",
    hostname: "review.example",
    prefix: "/reports/",
    type: "non_idempotent",
    timeout: "16s",
    target_latency: "10s",
    priority: 1,
    service: "reports",
    attempts: 2,
    session_affinity: false,
    allowed_regions: [],
  }],
});

function send(connection, id) {
  return connection.send({
    id,
    method: "POST",
    host: "review.example",
    path: `/reports/${id}`,
    deadlineMillis: DEADLINE_MILLIS,
    body: Buffer.alloc(300, "x"),
  });
}

async function play() {
  const [machine] = deployment.list;
  // The endpoints are no longer cold, and their work times are known.
  await pause(3500);
  const first = new Connection(deployment.front(machine), { record });
  for (const id of ["warm-1", "warm-2"]) await send(first, id);
  const connections = Array.from(
    { length: CLIENTS },
    () => new Connection(deployment.front(machine), { record }),
  );
  await Promise.all(connections.map(({ opened }) => opened));
  const ids = connections.map((_, i) => `q-${i + 1}`);
  const answers = connections.map(async (connection, i) => {
    await pause(10 * i);
    return send(connection, ids[i]);
  });
  await pause(10 * CLIENTS + 300);
  const stopAt = record.now;
  if (TROUBLE) await deployment.terminate(machine);
  await Promise.race([Promise.all(answers), pause(DEADLINE_MILLIS + 1000)]);
  for (const connection of connections) connection.close();
  return ids.map((id) => record.of(id)).filter((request) =>
    request.lost !== undefined && request.arrivals === 0 &&
    request.lostAt > request.sentAt + LOSS_SLACK_MILLIS &&
    request.lostAt < request.sentAt + DEADLINE_MILLIS &&
    request.lostAt < stopAt + GRACE_MILLIS + 1000
  ).map(({ id, sentAt, lostAt }) =>
    `LOST ${id}: sent at ${sentAt.toFixed(0)}, never passed on, ` +
    `connection ended at ${lostAt.toFixed(0)} without an answer`
  );
}

await runCase({ recordFile: "review/3/record.txt", record, deployment, play });
