/**
 * What one entry adds to a direct call, and how many requests it carries.
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
import { type LoopResult, runLoop } from "./closed_loop.ts";

const member = "bench";
const service = "fast";
const basePort = 24_000;
const warmMillis = 2000;
const measureMillis = 4000;
const medianAddedLimitMillis = 1;

/** One data centre with a service that answers at once. */
export const fastProfile: UserProfile = {
  member,
  regions: [{ id: "r1", dataCentres: ["d1"] }],
  linkBytesPerSecond: 1e9,
  linkMillis: 1,
  services: [{
    id: service,
    slots: 64,
    routes: [{ pathPrefix: "/", lane: Lane.interactive, idempotent: true }],
    serviceMillis: [{ prefix: "/", millis: 0 }],
  }],
};

function toArm(name: string, result: LoopResult) {
  return {
    name,
    requestsPerSecond: Math.round(result.requestsPerSecond),
    p50Millis: round(quantile(result.latencies, 0.5)),
    p99Millis: round(quantile(result.latencies, 0.99)),
    failures: result.failures,
  };
}

/** Measures direct calls and calls through one entry in turns. */
export async function entryBench(options: BenchOptions): Promise<BenchReport> {
  const cluster = await prepareCluster({
    layout: {
      profiles: [fastProfile],
      targetsPerDataCentre: 2,
      capInFlight: 200,
      lookupTtlSeconds: 1,
    },
    entriesPerDataCentre: [1],
    basePort,
    settings: { stopOnBreach: false },
  });
  await cluster.start();
  const [target] = cluster.fleet.targets;
  const [entry] = cluster.entries;
  const direct = `http://${target.address}/x`;
  const through = `http://${entry.callers}/v1/run/${member}/${service}/x`;
  const load = (url: string, connections: number, durationMillis: number) =>
    runLoop({
      urls: () => url,
      connections,
      durationMillis: durationMillis * options.scale,
    });
  await load(direct, 4, warmMillis);
  await load(through, 4, warmMillis);
  const single = {
    direct: await load(direct, 1, measureMillis),
    through: await load(through, 1, measureMillis),
  };
  const many = {
    direct: await load(direct, 16, measureMillis),
    through: await load(through, 16, measureMillis),
  };
  await cluster.stop();
  await cluster.removeFolder();
  const added = (share: number) =>
    quantile(single.through.latencies, share) -
    quantile(single.direct.latencies, share);
  return {
    bench: "entry",
    seed: options.seed,
    arms: [
      toArm("direct, 1 connection", single.direct),
      toArm("entry, 1 connection", single.through),
      toArm("direct, 16 connections", many.direct),
      toArm("entry, 16 connections", many.through),
      {
        name: "added by the entry",
        p50Millis: round(added(0.5)),
        p99Millis: round(added(0.99)),
      },
    ],
    bounds: [atMost("median added, ms", added(0.5), medianAddedLimitMillis)],
  };
}
