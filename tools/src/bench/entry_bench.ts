/**
 * Measures the latency that one entry adds to a direct call, and its throughput.
 */
import { Lane } from "@bamboolane/types/fleet";
import type { UserProfile } from "../harness/make_fleet.ts";
import { prepareCluster } from "../harness/start_cluster.ts";
import {
  atMost,
  type BenchOptions,
  type BenchReport,
  quantile,
  round,
} from "./bench_report.ts";
import { type LoopResult, runClosedLoop } from "./closed_loop.ts";

const MEMBER = "bench";
const SERVICE = "fast";
const BASE_PORT = 24_000;
const WARMUP_MILLIS = 2000;
const MEASURE_MILLIS = 4000;
const MAX_MEDIAN_ADDED_MILLIS = 1;

/** One data centre with a service that answers at once. */
export const FAST_PROFILE: UserProfile = {
  member: MEMBER,
  regions: [{ id: "r1", dataCentres: ["d1"] }],
  linkBytesPerSecond: 1e9,
  linkLatencyMillis: 1,
  services: [{
    id: SERVICE,
    slots: 64,
    routes: [{ pathPrefix: "/", lane: Lane.interactive, idempotent: true }],
    serviceMillis: [{ prefix: "/", millis: 0 }],
  }],
};

function toArm(name: string, result: LoopResult) {
  return {
    name,
    requestsPerSecond: Math.round(result.requestsPerSecond),
    p50Millis: round(quantile(result.latenciesMillis, 0.5)),
    p99Millis: round(quantile(result.latenciesMillis, 0.99)),
    failures: result.failures,
  };
}

/** Measures direct calls and calls through one entry in turn. */
export async function entryBench(options: BenchOptions): Promise<BenchReport> {
  const cluster = await prepareCluster({
    layout: {
      profiles: [FAST_PROFILE],
      targetsPerDataCentre: 2,
      capInFlight: 200,
      lookupTtlSeconds: 1,
    },
    entriesPerDataCentre: [1],
    basePort: BASE_PORT,
    settings: { stopOnBreach: false },
  });
  await cluster.start();
  const [target] = cluster.fleet.targets;
  const [entry] = cluster.entries;
  const direct = `http://${target.address}/x`;
  const viaEntry = `http://${entry.callers}/v1/run/${MEMBER}/${SERVICE}/x`;
  const load = (url: string, connections: number, durationMillis: number) =>
    runClosedLoop({
      nextUrl: () => url,
      connections,
      durationMillis: durationMillis * options.scale,
    });
  await load(direct, 4, WARMUP_MILLIS);
  await load(viaEntry, 4, WARMUP_MILLIS);
  const single = {
    direct: await load(direct, 1, MEASURE_MILLIS),
    viaEntry: await load(viaEntry, 1, MEASURE_MILLIS),
  };
  const many = {
    direct: await load(direct, 16, MEASURE_MILLIS),
    viaEntry: await load(viaEntry, 16, MEASURE_MILLIS),
  };
  await cluster.stop();
  await cluster.removeFolder();
  const added = (share: number) =>
    quantile(single.viaEntry.latenciesMillis, share) -
    quantile(single.direct.latenciesMillis, share);
  return {
    bench: "entry",
    seed: options.seed,
    arms: [
      toArm("direct, 1 connection", single.direct),
      toArm("entry, 1 connection", single.viaEntry),
      toArm("direct, 16 connections", many.direct),
      toArm("entry, 16 connections", many.viaEntry),
      {
        name: "added by the entry",
        p50Millis: round(added(0.5)),
        p99Millis: round(added(0.99)),
      },
    ],
    bounds: [atMost("median added, ms", added(0.5), MAX_MEDIAN_ADDED_MILLIS)],
  };
}
