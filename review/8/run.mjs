/**
 * Entries that are partitioned from all endpoints forward requests, and send them
 * themselves again once they reach endpoints. Endpoints lose answers meanwhile.
 */
import { writeFile } from "node:fs/promises";
import process from "node:process";
import { Endpoint } from "../harness-2/endpoints.mjs";
import { configuration, Entries, send } from "../harness-2/entries.mjs";
import { pause, Store } from "../harness-2/store.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
const ZONES = {
  "ekm-north": "ernakulam",
  "ekm-south": "ernakulam",
  "mlb-east": "malabar",
};
const ENTRIES = [
  ["front-1", "ekm-north"],
  ["front-2", "ekm-north"],
  ["front-3", "ekm-south"],
  ["front-4", "ekm-south"],
  ["front-5", "mlb-east"],
  ["front-6", "mlb-east"],
];
const SERVICE = "huvo11a";
/** Attempts of the route. */
const ATTEMPTS = 2;
/** Requests that may run on more endpoints than that. */
const TOLERATED = 3;
/** Share of the endpoints that lose answers, and the share of the answers that they lose. */
const LOSING_SHARE = 0.6;
const LOST_SHARE = 0.4;
/** Entries that are partitioned in each round: half of them. */
const CUT = [0, 2, 4];
const CUT_MILLIS = 2500;
const ROUNDS = 14;
/** Answers are lost all the while, each time at other endpoints. */
const ROUND_MILLIS = 5600;
const WARM_UP_MILLIS = 11_000;
const REQUEST_INTERVAL_MILLIS = 5;

const store = new Store();
const endpoints = [];
const entries = await Entries.create(ZONES);
const attempts = [];
const events = [];
/** Times in which entries were partitioned. */
const cuts = [];

function note(text) {
  events.push({ atMillis: performance.now(), text });
}

async function start() {
  store.write(
    "op",
    "config",
    configuration(1, {
      routes: [{
        name: "r-u3fexd9",
        prefix: "/leny950/",
        service: SERVICE,
        attempts: ATTEMPTS,
      }],
      services: [SERVICE],
    }),
  );
  for (const zone of Object.keys(ZONES)) {
    for (let i = 0; i < 4; i++) {
      const id = `i-${zone}-${i}`;
      const endpoint = new Endpoint({
        id,
        service: SERVICE,
        zone,
        workMillis: 120,
      });
      await endpoint.listen(ENTRIES.map((_, n) => entries.link(n)));
      endpoints.push(endpoint);
      store.write("servers", id, endpoint.row());
    }
  }
  for (const [n, [name, zone]] of ENTRIES.entries()) {
    const door = await store.open(entries.host(n), {
      oneWayMillis: ZONES[zone] === "ernakulam" ? 1 : 35,
      mapValue: (table, value) =>
        table === "servers"
          ? value.replace("127.0.0.1:", `${entries.link(n)}:`)
          : value,
    });
    const entry = await entries.add(name, zone, door.address);
    await entries.start(entry);
  }
  await Promise.all(entries.list.map((entry) => entries.untilReady(entry)));
  note("all entries are ready");
}

async function sendRequests(untilMillis) {
  const open = [];
  for (let n = 0; performance.now() < untilMillis; n++) {
    open.push(
      send(entries.list[n % ENTRIES.length], {
        path: `/leny950/${n}`,
        hostname: "hulo84.example",
        deadlineMillis: 2500,
        object: n % 24,
      }).then((attempt) => attempts.push(attempt)),
    );
    await pause(REQUEST_INTERVAL_MILLIS);
  }
  await Promise.all(open);
}

async function disturb() {
  await pause(WARM_UP_MILLIS);
  for (let round = 0; TROUBLE && round < ROUNDS; round++) {
    const losing = new Set(
      endpoints
        .map((endpoint) => ({ endpoint, order: Math.random() }))
        .sort((a, b) => a.order - b.order)
        .slice(0, Math.floor(endpoints.length * LOSING_SHARE))
        .map(({ endpoint }) => endpoint),
    );
    for (const endpoint of endpoints) {
      endpoint.lostShare = losing.has(endpoint) ? LOST_SHARE : 0;
      for (const n of CUT) endpoint.closePath(entries.link(n));
    }
    note(`3 entries are partitioned, ${losing.size} endpoints lose answers`);
    const cut = { fromMillis: performance.now(), untilMillis: Infinity };
    cuts.push(cut);
    await pause(CUT_MILLIS);
    await Promise.all(
      endpoints.flatMap((endpoint) =>
        CUT.map((n) => endpoint.openPath(entries.link(n)))
      ),
    );
    cut.untilMillis = performance.now();
    note("the entries reach the endpoints again");
    await pause(ROUND_MILLIS - CUT_MILLIS);
  }
}

async function check() {
  const runs = new Map();
  for (const { runs: own } of endpoints) {
    for (const run of own) runs.set(run.id, [...runs.get(run.id) ?? [], run]);
  }
  const endpointsOf = (id) =>
    new Set((runs.get(id) ?? []).map(({ endpoint }) => endpoint));
  // Endpoints that were cut off meanwhile don't count: no partition may touch the request.
  const isCalm = ({ sentMillis, tookMillis }) =>
    cuts.every(({ fromMillis, untilMillis }) =>
      untilMillis < sentMillis || fromMillis > sentMillis + tookMillis
    );
  const over = attempts.filter((attempt) =>
    endpointsOf(attempt.id).size > ATTEMPTS && isCalm(attempt)
  );
  const t0 = events[0].atMillis;
  const at = (millis) => ((millis - t0) / 1000).toFixed(3);
  const lines = events.map(({ atMillis, text }) => `${at(atMillis)} ${text}`);
  const format = (attempt) =>
    `${at(attempt.sentMillis)} ${attempt.entry} ${attempt.id} ` +
    `${attempt.status} ` +
    (runs.get(attempt.id) ?? []).map((run) =>
      `${run.endpoint} at ${at(run.atMillis)}${run.lost ? " (lost)" : ""}`
    ).join(", ");
  lines.push("", "sent, entry, request, answer, run by");
  lines.push(
    ...attempts.sort((a, b) => a.sentMillis - b.sentMillis).map(format),
  );
  const served = attempts.filter(({ status }) => status === 200).length;
  lines.push("", `requests: ${attempts.length}`, `answered 200: ${served}`);
  lines.push(
    `run on more than ${ATTEMPTS} endpoints, all of which were reached all the ` +
      `while: ${over.length}`,
  );
  lines.push(...over.map(format));
  await writeFile(
    new URL("record.txt", import.meta.url),
    lines.join("\n") + "\n",
  );
  console.log(lines.slice(-(over.length + 3)).slice(0, 12).join("\n"));
  // Without traffic that is served the case shows nothing.
  if (served < attempts.length / 2) return 2;
  return over.length > TOLERATED ? 1 : 0;
}

let code = 2;
try {
  await start();
  const untilMillis = performance.now() + WARM_UP_MILLIS +
    ROUNDS * ROUND_MILLIS;
  await Promise.all([sendRequests(untilMillis), disturb()]);
  code = await check();
} catch (error) {
  console.error(error);
} finally {
  await entries.end();
  store.close();
  for (const endpoint of endpoints) endpoint.close();
}
process.exit(code);
