/**
 * What control costs a node: one real entry among stand-in peers, at several
 * numbers of peers, of other data centres and of client blocks, with lines
 * fitted and taken to the design size.
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
import { fastProfile } from "./entry_bench.ts";
import type { PeerSpec, PeersSpec } from "./main_peers.ts";
import { fitLine, type FittedLine, readUsage } from "./process_usage.ts";

const basePort = 26_000;
const firstPeerPort = 26_400;
const meshSizes = [0, 4, 8, 16, 32, 64];
const dataCentreCounts = [0, 6, 12, 24, 36];
const blockCounts = [10_000, 95_000, 190_000, 380_000];
const siteCount = 88;
const settleMillis = 6000;
const measureMillis = 15_000;
const changesMeasured = 10;
/** Beats of the product's default settings. */
const heartbeatMillis = 1000;
const peerSecret = "demo-peer-secret-0001";

/** The size to design for. */
export const designSize = {
  nodes: 540,
  dataCentres: 37,
  sites: 88,
  blocks: 380_000,
  lookupsPerSecond: 370_000,
  changesPerDay: 1200,
  cpuShareLimit: 0.01,
  memoryLimitMegabytes: 64,
  bytesPerSecondLimit: 30_000,
} as const;

const secondsPerDay = 86_400;
const meshPeers = Math.ceil(designSize.nodes / designSize.dataCentres) - 1;

interface Sample {
  cpuShare: number;
  residentMegabytes: number;
  messagesPerSecond: number;
  bytesPerSecond: number;
  storeCallsPerSecond: number;
}

async function readCounter(cluster: Cluster, name: string): Promise<number> {
  const [entry] = cluster.entries;
  const reply = await request(`http://${entry.metrics}/metrics`);
  const lines = (await reply.body.text()).split("\n");
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

function startCluster(): Promise<Cluster> {
  return prepareCluster({
    layout: {
      profiles: [fastProfile],
      targetsPerDataCentre: 1,
      capInFlight: 100,
      lookupTtlSeconds: 1,
    },
    entriesPerDataCentre: [1],
    basePort,
    settings: {
      stopOnBreach: false,
      timers: { heartbeatMillis },
    },
  });
}

async function withPeers(
  peers: PeerSpec[],
  run: (cluster: Cluster) => Promise<Sample>,
): Promise<Sample> {
  const cluster = await startCluster();
  await cluster.start();
  const file = path.join(cluster.folder, "peers.json");
  const spec: PeersSpec = {
    peers,
    secret: peerSecret,
    seed: cluster.entries[0].peers,
    heartbeatMillis,
  };
  await writeFile(file, JSON.stringify(spec));
  const script = path.join(import.meta.dirname, "main_peers.js");
  cluster.children.start("peers", [script, file], {
    logFile: path.join(cluster.folder, "peers.log"),
  });
  try {
    await new Promise((resolve) =>
      setTimeout(resolve, settleMillis + 50 * peers.length)
    );
    return await run(cluster);
  } finally {
    await cluster.stop();
    await cluster.removeFolder();
  }
}

function meshOf(count: number): PeerSpec[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `peer-${i}`,
    dataCentre: "d1",
    region: "r1",
    address: `127.0.0.1:${firstPeerPort + i}`,
  }));
}

/** Two peers in each other data centre, so that each has its two relays. */
function otherDataCentres(count: number): PeerSpec[] {
  return Array.from({ length: 2 * count }, (_, i) => ({
    id: `far-${i}`,
    dataCentre: `x${Math.floor(i / 2)}`,
    region: `y${Math.floor(i / 6)}`,
    address: `127.0.0.1:${firstPeerPort + i}`,
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

interface Series {
  points: { x: number; sample: Sample }[];
}

function fit(series: Series, figure: Figure): FittedLine {
  return fitLine(
    series.points.map(({ x, sample: s }) => ({ x, y: s[figure] })),
  );
}

function slopeArm(name: string, series: Series): BenchArm {
  const lines = ([
    "cpuShare",
    "residentMegabytes",
    "messagesPerSecond",
    "bytesPerSecond",
  ] as const)
    .map((figure) => fit(series, figure));
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
    site: `site${i % siteCount}`,
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

/** Publishes a block table of `count`, then changes single blocks. */
async function sampleBlocks(
  cluster: Cluster,
  count: number,
): Promise<BlockSample> {
  const [entry] = cluster.entries;
  const blocks = makeBlocks(count);
  const sites = Array.from(
    { length: siteCount },
    (_, i) => ({ id: `site${i}`, dataCentre: "d1" }),
  );
  const text = JSON.stringify({ ...cluster.fleet.document, sites });
  const publish = async () => {
    const startedAt = performance.now();
    const body = { text, blocks, summary: "blocks" };
    await cluster.operator(entry, {
      method: "POST",
      path: "/v1/publish",
      body,
    });
    return performance.now() - startedAt;
  };
  const publishMillis = await publish();
  // The publisher holds the operator's document too; a restarted entry holds what every node does.
  await cluster.children.stop(entry.id);
  const restartedAt = performance.now();
  await cluster.startEntry(entry);
  await cluster.untilServing(entry);
  const loadMillis = performance.now() - restartedAt;
  const { residentMegabytes } = await readUsage(entryPid(cluster));
  const startedAt = performance.now();
  const before = await readUsage(entryPid(cluster));
  for (let i = 0; i < changesMeasured; i++) {
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
    await cluster.operator(entry, {
      method: "POST",
      path: "/v1/edit",
      body: { edit },
    });
  }
  const changeMillis = (performance.now() - startedAt) / changesMeasured;
  const after = await readUsage(entryPid(cluster));
  return {
    count,
    residentMegabytes,
    publishMillis,
    loadMillis,
    changeMillis,
    changeCpuMillis: 1000 * (after.cpuSeconds - before.cpuSeconds) /
      changesMeasured,
  };
}

/** Measures control and takes it to the design size. */
export async function controlBench(
  options: BenchOptions,
): Promise<BenchReport> {
  const duration = measureMillis * options.scale;
  const arms: BenchArm[] = [];
  const mesh: Series = { points: [] };
  for (const count of meshSizes) {
    const taken = await withPeers(
      meshOf(count),
      (cluster) => sample(cluster, duration),
    );
    mesh.points.push({ x: count, sample: taken });
    arms.push(toArm(`${count} peers in the data centre`, taken));
  }
  const far: Series = { points: [] };
  for (const count of dataCentreCounts) {
    const peers = otherDataCentres(count);
    const taken = await withPeers(
      peers,
      (cluster) => sample(cluster, duration),
    );
    far.points.push({ x: count, sample: taken });
    arms.push(toArm(`relay of ${count} other data centres`, taken));
  }
  const blocks: BlockSample[] = [];
  for (const count of blockCounts) {
    const cluster = await startCluster();
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
    slopeArm("slope for a peer", mesh),
    slopeArm("slope for a data centre", far),
  );
  return {
    bench: "control",
    seed: options.seed,
    arms: [...arms, ...project(mesh, far, blocks)],
    bounds: bounds(mesh, far, blocks),
  };
}

interface Projection {
  cpuShare: number;
  memoryMegabytes: number;
  bytesPerSecond: number;
}

/** A relay has the mesh of its data centre and a stream to each other one. */
function projectNode(
  mesh: Series,
  far: Series,
  blocks: BlockSample[],
  isRelay: boolean,
): Projection {
  const farCount = isRelay ? designSize.dataCentres - 1 : 0;
  // A slope below zero is noise: more peers never cost less.
  const slope = (series: Series, figure: Figure) =>
    Math.max(0, fit(series, figure).slope);
  const at = (figure: Figure) =>
    slope(mesh, figure) * meshPeers + slope(far, figure) * farCount;
  const changesPerSecond = designSize.changesPerDay / secondsPerDay;
  const change = blocks[blocks.length - 1].changeCpuMillis / 1000;
  return {
    // The cost of an entry alone counts too: polls, probes and timers.
    cpuShare: Math.max(0, fit(mesh, "cpuShare").intercept) + at("cpuShare") +
      changesPerSecond * change,
    // Heap that loading leaves behind counts, so the whole table is compared with none.
    memoryMegabytes: at("residentMegabytes") +
      blocks[blocks.length - 1].residentMegabytes -
      mesh.points[0].sample.residentMegabytes,
    bytesPerSecond: at("bytesPerSecond"),
  };
}

function project(mesh: Series, far: Series, blocks: BlockSample[]): BenchArm[] {
  return [true, false].map((isRelay) => {
    const node = projectNode(mesh, far, blocks, isRelay);
    return {
      name: `at the design size, ${isRelay ? "a relay" : "another node"}`,
      cpuPercent: round(100 * node.cpuShare),
      residentMegabytes: round(node.memoryMegabytes),
      bytesPerSecond: Math.round(node.bytesPerSecond),
    };
  });
}

function bounds(mesh: Series, far: Series, blocks: BlockSample[]) {
  return [true, false].flatMap((isRelay) => {
    const node = projectNode(mesh, far, blocks, isRelay);
    const who = isRelay ? "relay" : "other node";
    return [
      atMost(`${who}: cpu share`, node.cpuShare, designSize.cpuShareLimit),
      atMost(
        `${who}: own memory, MB`,
        node.memoryMegabytes,
        designSize.memoryLimitMegabytes,
      ),
      atMost(
        `${who}: bytes a second`,
        node.bytesPerSecond,
        designSize.bytesPerSecondLimit,
      ),
    ];
  });
}
