/**
 * Endpoints drain while restarted entries read the table of endpoints, which takes two
 * pages. An entry that doesn't follow the store itself never learns of some of them.
 */
import { writeFile } from "node:fs/promises";
import process from "node:process";
import { Endpoint } from "../harness-2/endpoints.mjs";
import { configuration, Entries, send } from "../harness-2/entries.mjs";
import { pause, Store } from "../harness-2/store.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
const ZONES = {
  "ekm-north": "ernakulam",
  "mlb-east": "malabar",
  "mlb-west": "malabar",
};
/** All of them in `mlb-east`, in the region that the store doesn't stand in. */
const ENTRY_COUNT = 9;
/** Killed at the same moment: 4 of 9. */
const KILLED = [5, 6, 7, 8];
const SERVICES = ["depotdesk", "fitledger", "brochurehub", "servicebook"];
/** Endpoints of a fleet of 300 entries, of which the other data centres are left out. */
const ENDPOINT_COUNT = 900;
/** Share of the endpoints that drain, and the time over which they do. */
const SCALE_IN_SHARE = 0.2;
const SCALE_IN_MILLIS = 1200;
/** How long they go on serving. */
const STAY_MILLIS = 16_000;
/** Time until the last of them have ended. */
const END_MILLIS = 18_000;
/** Share of the requests that go to the entries that are killed. */
const KILLED_SHARE = 0.7;
const DRAIN_MILLIS = 2500;
const STABLE_MILLIS = 4000;
/** Shortest delay of a restart; up to as much again is added. */
const RESTART_MILLIS = 400;

const store = new Store();
const endpoints = [];
const drained = new Map();
const entries = await Entries.create(ZONES);
const attempts = [];
const events = [];

function note(text) {
  events.push({ atMillis: performance.now(), text });
}

async function start() {
  store.write(
    "op",
    "config",
    configuration(1, {
      routes: SERVICES.map((service) => ({
        name: `r-${service}`,
        prefix: `/${service}/`,
        service,
      })),
      services: SERVICES,
    }),
  );
  const zones = Object.keys(ZONES);
  for (let n = 0; n < ENDPOINT_COUNT; n++) {
    const endpoint = new Endpoint({
      id: `i-${Math.random().toString(16).slice(2, 12).padEnd(10, "0")}`,
      service: SERVICES[n % SERVICES.length],
      zone: zones[n % zones.length],
      workMillis: 100,
    });
    await endpoint.listen(["127.0.0.1"]);
    endpoints.push(endpoint);
    store.write("servers", endpoint.id, endpoint.row());
  }
  for (let n = 0; n < ENTRY_COUNT; n++) {
    const door = await store.open(entries.host(n), { oneWayMillis: 35 });
    const entry = await entries.add(`front-${n + 1}`, "mlb-east", door.address);
    await entries.start(entry);
  }
  await Promise.all(entries.list.map((entry) => entries.untilReady(entry)));
  note("all entries are ready");
}

async function sendRequests(untilMillis) {
  const open = new Set();
  for (let n = 0; performance.now() < untilMillis; n++) {
    const isOfKilled = Math.random() < KILLED_SHARE;
    const entry = entries.list[
      isOfKilled ? KILLED[n % KILLED.length] : n % KILLED[0]
    ];
    const service = SERVICES[Math.floor(Math.random() * SERVICES.length)];
    const call = send(entry, {
      path: `/${service}/${n}`,
      hostname: "hulo84.example",
      deadlineMillis: 2500,
      object: Math.floor(Math.random() * 1000),
    }).then((attempt) => attempts.push(attempt));
    open.add(call);
    call.finally(() => open.delete(call));
    await pause(6);
  }
  await Promise.all(open);
}

async function kill(index) {
  const entry = entries.list[index];
  entry.process.kill("SIGKILL");
  await entry.exited;
  await pause(RESTART_MILLIS * (1 + Math.random()));
  await entries.start(entry);
}

async function scaleIn() {
  const count = Math.floor(endpoints.length * SCALE_IN_SHARE);
  const leaving = endpoints
    .map((endpoint) => ({ endpoint, order: Math.random() }))
    .sort((a, b) => a.order - b.order)
    .slice(0, count)
    .map(({ endpoint }) => endpoint);
  note(`scale-in: ${count} endpoints`);
  await Promise.all(leaving.map(async (endpoint) => {
    await pause(Math.random() * SCALE_IN_MILLIS);
    endpoint.draining = true;
    store.write("servers", endpoint.id, endpoint.row());
    drained.set(endpoint.id, performance.now());
    setTimeout(() => {
      store.write("servers", endpoint.id, undefined);
      endpoint.close();
    }, STAY_MILLIS);
  }));
}

async function disturb() {
  await pause(5000);
  const kills = TROUBLE ? KILLED.map((index) => kill(index)) : [];
  if (TROUBLE) note("front-6, front-7, front-8 and front-9 are killed");
  await pause(RESTART_MILLIS);
  await Promise.all([...kills, scaleIn()]);
}

/** Runs at endpoints that had drained too long before, sent by machines in touch. */
function findLateRuns() {
  const byId = new Map(attempts.map((attempt) => [attempt.id, attempt]));
  const late = [];
  for (const endpoint of endpoints) {
    const drainedMillis = drained.get(endpoint.id);
    if (drainedMillis === undefined) continue;
    for (const run of endpoint.runs) {
      const attempt = byId.get(run.id);
      if (attempt === undefined) continue;
      const sinceMillis = attempt.sentMillis - drainedMillis;
      if (sinceMillis <= DRAIN_MILLIS) continue;
      const { starts } = entries.list.find(({ name }) =>
        name === attempt.entry
      );
      // Not in touch for `stable` after a kill or a start.
      const isInTouch = starts.every((millis) =>
        run.atMillis < millis - 2 * RESTART_MILLIS - 200 ||
        attempt.sentMillis > millis + STABLE_MILLIS
      );
      if (isInTouch) late.push({ attempt, run, sinceMillis });
    }
  }
  return late.sort((a, b) => a.run.atMillis - b.run.atMillis);
}

async function record(late) {
  const t0 = events[0].atMillis;
  const at = (millis) => ((millis - t0) / 1000).toFixed(3);
  const lines = events.map(({ atMillis, text }) => `${at(atMillis)} ${text}`);
  lines.push("", "starts of entries");
  for (const { name, starts } of entries.list) {
    lines.push(`${name}: ${starts.map(at).join(", ")}`);
  }
  lines.push("", "drains that the store acknowledged");
  for (const [id, millis] of drained) lines.push(`${at(millis)} ${id}`);
  const runs = new Map();
  for (const { runs: own } of endpoints) {
    for (const run of own) runs.set(run.id, [...runs.get(run.id) ?? [], run]);
  }
  lines.push("", "sent, entry, request, answer, run by");
  for (const attempt of attempts.sort((a, b) => a.sentMillis - b.sentMillis)) {
    const ran = (runs.get(attempt.id) ?? [])
      .map(({ endpoint, atMillis }) => `${endpoint} at ${at(atMillis)}`);
    lines.push(
      `${at(attempt.sentMillis)} ${attempt.entry} ${attempt.id} ` +
        `${attempt.status} ${ran.join(", ") || "-"}`,
    );
  }
  lines.push("", `requests: ${attempts.length}`);
  lines.push(
    `answered 200: ${attempts.filter(({ status }) => status === 200).length}`,
  );
  lines.push(`late runs: ${late.length}`);
  for (const { attempt, run, sinceMillis } of late) {
    lines.push(
      `${at(attempt.sentMillis)} ${attempt.entry} ${attempt.id} reached ` +
        `${run.endpoint}, which had drained ${
          Math.round(sinceMillis)
        } ms before`,
    );
  }
  await writeFile(
    new URL("record.txt", import.meta.url),
    lines.join("\n") + "\n",
  );
  console.log(lines.slice(-(late.length + 3)).slice(0, 12).join("\n"));
}

let code = 2;
try {
  await start();
  const untilMillis = performance.now() + 6000 + END_MILLIS;
  await Promise.all([sendRequests(untilMillis), disturb()]);
  const late = findLateRuns();
  await record(late);
  const served = attempts.filter(({ status }) => status === 200).length;
  // Without traffic that is served the case shows nothing.
  if (served >= attempts.length / 2) code = late.length > 0 ? 1 : 0;
} catch (error) {
  console.error(error);
} finally {
  await entries.end();
  store.close();
  for (const endpoint of endpoints) endpoint.close();
}
process.exit(code);
