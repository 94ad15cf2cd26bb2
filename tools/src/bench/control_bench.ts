/**
 * Measures what the control plane costs a node, which runs one entry: one real
 * entry with stand-in peers, at several numbers of peers, other data centres and
 * client blocks. Fits lines to the results by peers and data centres, and
 * extrapolates to the design size.
 */
import { writeFile } from "node:fs/promises";
import path from "node:path";
import { request } from "undici";
import type { ClientBlock } from "@bamboolane/types/fleet";
import { type Cluster, prepareCluster } from "../harness/start_cluster.ts";
import {
  atMost,
  type BenchArm,
  type BenchOptions,
  type BenchReport,
  round,
} from "./bench_report.ts";
import { FAST_PROFILE } from "./entry_bench.ts";
import type { PeerSpec, PeersSpec } from "./main_peers.ts";
import { fitLine, type FittedLine, readUsage } from "./process_usage.ts";

const BASE_PORT = 26_000;
const FIRST_PEER_PORT = 26_400;
const MESH_PEER_COUNTS = [0, 4, 8, 16, 32, 64];
const DATA_CENTRE_COUNTS = [0, 6, 12, 24, 36];
const BLOCK_COUNTS = [10_000, 95_000, 190_000, 380_000];
const SITE_COUNT = 88;
/** Time for the peers to connect before the measurement starts, besides 50 ms for each. */
const PEER_CONNECT_MILLIS = 6000;
const MEASURE_MILLIS = 15_000;
const MEASURED_CHANGES = 10;
/** Heartbeat interval of the product's default settings. */
const HEARTBEAT_MILLIS = 1000;
const PEER_SECRET = "demo-peer-secret-0001";

/** The size that the product is designed for, and its limits per node. */
export const DESIGN_SIZE = {
  nodes: 540,
  dataCentres: 37,
  sites: 88,
  blocks: 380_000,
  lookupsPerSecond: 370_000,
  changesPerDay: 1200,
  /** Share of one core. */
  cpuShareLimit: 0.01,
  memoryLimitMegabytes: 64,
  bytesPerSecondLimit: 30_000,
} as const;

const SECONDS_PER_DAY = 86_400;
/** Peers of a node in its own data centre. */
const DESIGN_MESH_PEERS =
  Math.ceil(DESIGN_SIZE.nodes / DESIGN_SIZE.dataCentres) - 1;

interface Sample {
  cpuShare: number;
  residentMegabytes: number;
  messagesPerSecond: number;
  bytesPerSecond: number;
  storeCallsPerSecond: number;
}

/** Sums a counter of the entry over its labels. */
async function readCounter(cluster: Cluster, name: string): Promise<number> {
  const [entry] = cluster.entries;
  const response = await request(`http://${entry.metrics}/metrics`);
  const lines = (await response.body.text()).split("\n");
  return lines.filter((line) => line.startsWith(name))
    .reduce((sum, line) => sum + Number(line.split(" ").at(-1)), 0);
}

function entryPid(cluster: Cluster): number {
  return cluster.children.get(cluster.entries[0].id)?.process.pid ?? 0;
}

async function sample(
  cluster: Cluster,
  durationMillis: number,
): Promise<Sample> {
  const names = [
    "bamboolane_heartbeats_total",
    "bamboolane_heartbeat_bytes_total",
    "bamboolane_store_calls_total",
  ];
  const readAll = () =>
    Promise.all(names.map((name) => readCounter(cluster, name)));
  const countsBefore = await readAll();
  const before = await readUsage(entryPid(cluster));
  await new Promise((resolve) => setTimeout(resolve, durationMillis));
  const after = await readUsage(entryPid(cluster));
  const countsAfter = await readAll();
  const seconds = (after.atMillis - before.atMillis) / 1000;
  const [messages, bytes, calls] = countsAfter.map((value, i) =>
    (value - countsBefore[i]) / seconds
  );
  return {
    cpuShare: (after.cpuSeconds - before.cpuSeconds) / seconds,
    residentMegabytes: after.residentMegabytes,
    messagesPerSecond: messages,
    bytesPerSecond: bytes,
    storeCallsPerSecond: calls,
  };
}

/** Prepares a cluster of one entry; its `start` starts it. */
function prepareEntryCluster(): Promise<Cluster> {
  return prepareCluster({
    layout: {
      profiles: [FAST_PROFILE],
      targetsPerDataCentre: 1,
      capInFlight: 100,
      lookupTtlSeconds: 1,
    },
    entriesPerDataCentre: [1],
    basePort: BASE_PORT,
    settings: {
      stopOnBreach: false,
      timers: { heartbeatMillis: HEARTBEAT_MILLIS },
    },
  });
}

/** Runs a measurement on an entry that exchanges heartbeats with stand-in peers. */
async function withPeers(
  peers: PeerSpec[],
  run: (cluster: Cluster) => Promise<Sample>,
): Promise<Sample> {
  const cluster = await prepareEntryCluster();
  await cluster.start();
  const file = path.join(cluster.folder, "peers.json");
  const spec: PeersSpec = {
    peers,
    secret: PEER_SECRET,
    seed: cluster.entries[0].peers,
    heartbeatMillis: HEARTBEAT_MILLIS,
  };
  await writeFile(file, JSON.stringify(spec));
  const script = path.join(import.meta.dirname, "main_peers.js");
  cluster.children.start("peers", [script, file], {
    logFile: path.join(cluster.folder, "peers.log"),
  });
  try {
    await new Promise((resolve) =>
      setTimeout(resolve, PEER_CONNECT_MILLIS + 50 * peers.length)
    );
    return await run(cluster);
  } finally {
    await cluster.stop();
    await cluster.removeFolder();
  }
}

function createMeshPeers(count: number): PeerSpec[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `peer-${i}`,
    dataCentre: "d1",
    region: "r1",
    address: `127.0.0.1:${FIRST_PEER_PORT + i}`,
  }));
}

/**
 * Creates two peers in each of `count` other data centres, which are their data
 * centre's two relays. `main_peers.ts` recognizes them by their ids.
 */
function createRemotePeers(count: number): PeerSpec[] {
  return Array.from({ length: 2 * count }, (_, i) => ({
    id: `far-${i}`,
    dataCentre: `x${Math.floor(i / 2)}`,
    region: `y${Math.floor(i / 6)}`,
    address: `127.0.0.1:${FIRST_PEER_PORT + i}`,
  }));
}

function toArm(name: string, value: Sample): BenchArm {
  return {
    name,
    cpuPercent: round(100 * value.cpuShare),
    residentMegabytes: Math.round(value.residentMegabytes),
    messagesPerSecond: round(value.messagesPerSecond),
    bytesPerSecond: Math.round(value.bytesPerSecond),
    storeCallsPerSecond: round(value.storeCallsPerSecond),
  };
}

type Figure =
  | "cpuShare"
  | "residentMegabytes"
  | "messagesPerSecond"
  | "bytesPerSecond";

/** Samples at several numbers of peers or data centres, the `x` of the points. */
interface Series {
  points: { x: number; sample: Sample }[];
}

function fitSeries(series: Series, figure: Figure): FittedLine {
  return fitLine(
    series.points.map(({ x, sample: s }) => ({ x, y: s[figure] })),
  );
}

/** The fitted slopes; `fit` holds the lines' coefficients of determination. */
function toSlopeArm(name: string, series: Series): BenchArm {
  const lines = ([
    "cpuShare",
    "residentMegabytes",
    "messagesPerSecond",
    "bytesPerSecond",
  ] as const)
    .map((figure) => fitSeries(series, figure));
  const [cpu, memory, messages, bytes] = lines;
  return {
    name,
    cpuPercent: round(100 * cpu.slope),
    residentMegabytes: round(memory.slope),
    messagesPerSecond: round(messages.slope),
    bytesPerSecond: round(bytes.slope),
    fit: lines.map((line) => line.rSquared.toFixed(2)).join("/"),
  };
}

function makeBlocks(count: number): ClientBlock[] {
  return Array.from({ length: count }, (_, i) => ({
    cidr: `${11 + Math.floor(i / 65_536)}.${Math.floor(i / 256) % 256}.${
      i % 256
    }.0/24`,
    site: `site${i % SITE_COUNT}`,
  }));
}

interface BlockSample {
  count: number;
  residentMegabytes: number;
  publishMillis: number;
  loadMillis: number;
  changeMillis: number;
  changeCpuMillis: number;
}

/** Publishes a table of `count` client blocks, then makes single changes. */
async function sampleBlocks(
  cluster: Cluster,
  count: number,
): Promise<BlockSample> {
  const [entry] = cluster.entries;
  const blocks = makeBlocks(count);
  const sites = Array.from(
    { length: SITE_COUNT },
    (_, i) => ({ id: `site${i}`, dataCentre: "d1" }),
  );
  const text = JSON.stringify({ ...cluster.fleet.document, sites });
  const publish = async () => {
    const startedAtMillis = performance.now();
    const body = { text, blocks, summary: "blocks" };
    await cluster.callOperator(entry, {
      method: "POST",
      path: "/v1/publish",
      body,
    });
    return performance.now() - startedAtMillis;
  };
  const publishMillis = await publish();
  // The publisher also holds the operator's document; a restarted entry holds only what every node holds.
  await cluster.children.stop(entry.id);
  const restartedAtMillis = performance.now();
  await cluster.startEntry(entry);
  await cluster.waitUntilServing(entry);
  const loadMillis = performance.now() - restartedAtMillis;
  const { residentMegabytes } = await readUsage(entryPid(cluster));
  const startedAtMillis = performance.now();
  const before = await readUsage(entryPid(cluster));
  for (let i = 0; i < MEASURED_CHANGES; i++) {
    const edit = {
      kind: "exception-add",
      exception: {
        id: `change-${count}-${i}`,
        match: {},
        change: { bulkShare: 0.3 },
        owner: "bench",
        reason: "a change to be measured",
      },
    };
    await cluster.callOperator(entry, {
      method: "POST",
      path: "/v1/edit",
      body: { edit },
    });
  }
  const changeMillis = (performance.now() - startedAtMillis) / MEASURED_CHANGES;
  const after = await readUsage(entryPid(cluster));
  return {
    count,
    residentMegabytes,
    publishMillis,
    loadMillis,
    changeMillis,
    changeCpuMillis: 1000 * (after.cpuSeconds - before.cpuSeconds) /
      MEASURED_CHANGES,
  };
}

/** Measures the control plane and extrapolates it to the design size. */
export async function controlBench(
  options: BenchOptions,
): Promise<BenchReport> {
  const sampleMillis = MEASURE_MILLIS * options.scale;
  const arms: BenchArm[] = [];
  const mesh: Series = { points: [] };
  for (const count of MESH_PEER_COUNTS) {
    const measured = await withPeers(
      createMeshPeers(count),
      (cluster) => sample(cluster, sampleMillis),
    );
    mesh.points.push({ x: count, sample: measured });
    arms.push(toArm(`${count} peers in the data centre`, measured));
  }
  const remote: Series = { points: [] };
  for (const count of DATA_CENTRE_COUNTS) {
    const peers = createRemotePeers(count);
    const measured = await withPeers(
      peers,
      (cluster) => sample(cluster, sampleMillis),
    );
    remote.points.push({ x: count, sample: measured });
    arms.push(toArm(`relay of ${count} other data centres`, measured));
  }
  const blocks: BlockSample[] = [];
  for (const count of BLOCK_COUNTS) {
    const cluster = await prepareEntryCluster();
    await cluster.start();
    blocks.push(await sampleBlocks(cluster, count));
    await cluster.stop();
    await cluster.removeFolder();
  }
  for (const { count, ...rest } of blocks) {
    arms.push({
      name: `${count} blocks`,
      residentMegabytes: Math.round(rest.residentMegabytes),
      publishMillis: Math.round(rest.publishMillis),
      loadMillis: Math.round(rest.loadMillis),
      changeMillis: Math.round(rest.changeMillis),
      changeCpuMillis: round(rest.changeCpuMillis),
    });
  }
  arms.push(
    toSlopeArm("slope for a peer", mesh),
    toSlopeArm("slope for a data centre", remote),
  );
  return {
    bench: "control",
    seed: options.seed,
    arms: [...arms, ...projectArms(mesh, remote, blocks)],
    bounds: createBounds(mesh, remote, blocks),
  };
}

interface Projection {
  cpuShare: number;
  memoryMegabytes: number;
  bytesPerSecond: number;
}

/**
 * Extrapolates the cost of one node to the design size. Every node has the mesh
 * of its data centre; a relay also has a stream to each other data centre.
 */
function projectNode(
  mesh: Series,
  remote: Series,
  blocks: BlockSample[],
  isRelay: boolean,
): Projection {
  const remoteCount = isRelay ? DESIGN_SIZE.dataCentres - 1 : 0;
  // A slope below zero is noise: more peers never cost less.
  const slope = (series: Series, figure: Figure) =>
    Math.max(0, fitSeries(series, figure).slope);
  const projectFigure = (figure: Figure) =>
    slope(mesh, figure) * DESIGN_MESH_PEERS +
    slope(remote, figure) * remoteCount;
  const changesPerSecond = DESIGN_SIZE.changesPerDay / SECONDS_PER_DAY;
  const changeCpuSeconds = blocks[blocks.length - 1].changeCpuMillis / 1000;
  return {
    // Includes the cost of an entry without peers: polls, probes and timers.
    cpuShare: Math.max(0, fitSeries(mesh, "cpuShare").intercept) +
      projectFigure("cpuShare") +
      changesPerSecond * changeCpuSeconds,
    // Difference between the full table and no table; includes heap that loading the table left uncollected.
    memoryMegabytes: projectFigure("residentMegabytes") +
      blocks[blocks.length - 1].residentMegabytes -
      mesh.points[0].sample.residentMegabytes,
    bytesPerSecond: projectFigure("bytesPerSecond"),
  };
}

function projectArms(
  mesh: Series,
  remote: Series,
  blocks: BlockSample[],
): BenchArm[] {
  return [true, false].map((isRelay) => {
    const node = projectNode(mesh, remote, blocks, isRelay);
    return {
      name: `at the design size, ${isRelay ? "a relay" : "another node"}`,
      cpuPercent: round(100 * node.cpuShare),
      residentMegabytes: round(node.memoryMegabytes),
      bytesPerSecond: Math.round(node.bytesPerSecond),
    };
  });
}

function createBounds(mesh: Series, remote: Series, blocks: BlockSample[]) {
  return [true, false].flatMap((isRelay) => {
    const node = projectNode(mesh, remote, blocks, isRelay);
    const role = isRelay ? "relay" : "other node";
    return [
      atMost(`${role}: cpu share`, node.cpuShare, DESIGN_SIZE.cpuShareLimit),
      atMost(
        `${role}: own memory, MB`,
        node.memoryMegabytes,
        DESIGN_SIZE.memoryLimitMegabytes,
      ),
      atMost(
        `${role}: bytes a second`,
        node.bytesPerSecond,
        DESIGN_SIZE.bytesPerSecondLimit,
      ),
    ];
  });
}
