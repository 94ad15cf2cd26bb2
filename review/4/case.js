/**
 * A machine is stopped with SIGTERM while clients pipeline idempotent requests on open
 * connections. A request that it passes on must get its answer, or not be passed on.
 */
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
/** From this time after the SIGTERM a request that its endpoint works on is not excused. */
const EXCUSED_UNTIL_MILLIS = 3000;
const DEADLINE_MILLIS = 5000;
const TIMEOUT_MILLIS = 3000;
const WORK_MILLIS = 1500;
const INTERVAL_MILLIS = 600;
const CLIENTS = 4;
const TRAFFIC_MILLIS = 9000;

const record = new Record();
const deployment = new Deployment({
  record,
  machines: 3,
  services: [{
    name: "history",
    endpoints: 6,
    slots: 4,
    work: () => ({ workMillis: WORK_MILLIS, bodyBytes: 1500 }),
  }],
  routes: [{
    name: "r-history",
    hostname: "review.example",
    prefix: "/history/",
    type: "idempotent",
    timeout: `${TIMEOUT_MILLIS}ms`,
    target_latency: "2500ms",
    priority: 2,
    service: "history",
    attempts: 2,
    session_affinity: false,
    allowed_regions: [],
  }],
});

/** Sends a request every `INTERVAL_MILLIS` for as long as the connection is open. */
async function pipeline(connection, { client, ids }) {
  const endAt = performance.now() + TRAFFIC_MILLIS;
  const answers = [];
  await connection.opened;
  for (let i = 1; connection.usable && performance.now() < endAt; i++) {
    const id = `p${client}-${i}`;
    ids.push(id);
    answers.push(connection.send({
      id,
      method: "GET",
      host: "review.example",
      path: `/history/${id}`,
      deadlineMillis: DEADLINE_MILLIS,
    }));
    await pause(INTERVAL_MILLIS);
  }
  await Promise.all(answers);
  connection.close();
}

async function play() {
  const [machine] = deployment.list;
  // The endpoints are no longer cold.
  await pause(3500);
  const ids = [];
  const traffic = Array.from(
    { length: CLIENTS },
    (_, client) =>
      pipeline(new Connection(deployment.front(machine), { record }), {
        client,
        ids,
      }),
  );
  await pause(2000);
  const stopAt = record.now;
  if (TROUBLE) await deployment.terminate(machine);
  await Promise.all(traffic);
  return ids.map((id) => record.of(id)).filter((request) =>
    request.lost !== undefined && request.lost !== "behind a close" &&
    request.arrivals > 0 &&
    request.sentAt > stopAt + EXCUSED_UNTIL_MILLIS &&
    request.lostAt < stopAt + GRACE_MILLIS + 1000 &&
    request.lostAt < request.sentAt + TIMEOUT_MILLIS
  ).map(({ id, sentAt, lostAt, arrivedAt }) =>
    `LOST ${id}: sent ${(sentAt - stopAt).toFixed(0)} ms after the SIGTERM, ` +
    `passed on ${(arrivedAt - sentAt).toFixed(0)} ms later, connection ended ` +
    `${(lostAt - stopAt).toFixed(0)} ms after the SIGTERM without an answer`
  );
}

await runCase({ recordFile: "review/4/record.txt", record, deployment, play });
