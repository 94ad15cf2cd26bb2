/**
 * Look-ups of one entry that holds 380,000 client blocks and 88 sites.
 */
import { Agent, request } from "undici";
import { seededRandom } from "@bamboolane/test-utils/seeded_random";
import { prepareCluster } from "../harness/start_cluster.ts";
import {
  atLeast,
  atMost,
  type BenchOptions,
  type BenchReport,
  quantile,
  round,
} from "./bench_report.ts";
import { runLoop } from "./closed_loop.ts";
import { designSize } from "./control_bench.ts";
import { fastProfile } from "./entry_bench.ts";
import { readUsage } from "./process_usage.ts";

const basePort = 27_000;
const measureMillis = 5000;
const pacedPerSecond = 700;
const lookupsPerCoreAim = 10_000;
const pacedP99AimMillis = 2;

/** Sends look-ups at a steady rate; returns their latencies. */
async function paced(
  url: () => string,
  durationMillis: number,
): Promise<number[]> {
  const agent = new Agent({ connections: 8 });
  const latencies: number[] = [];
  const workers = 7;
  const gapMillis = 1000 * workers / pacedPerSecond;
  const loops = Array.from({ length: workers }, async (_, index) => {
    const startedAt = performance.now() + index * gapMillis / workers;
    for (let n = 0; n * gapMillis < durationMillis; n++) {
      const wait = startedAt + n * gapMillis - performance.now();
      if (wait > 0) await new Promise((resolve) => setTimeout(resolve, wait));
      const sentAt = performance.now();
      await (await request(url(), { dispatcher: agent })).body.dump();
      latencies.push(performance.now() - sentAt);
    }
  });
  await Promise.all(loops);
  await agent.destroy();
  return latencies;
}

/** Measures look-ups. */
export async function lookupBench(options: BenchOptions): Promise<BenchReport> {
  const cluster = await prepareCluster({
    layout: {
      profiles: [fastProfile],
      targetsPerDataCentre: 1,
      capInFlight: 100,
      lookupTtlSeconds: 1,
    },
    entriesPerDataCentre: [1],
    basePort,
    settings: { stopOnBreach: false },
  });
  await cluster.start();
  const [entry] = cluster.entries;
  const sites = Array.from({ length: designSize.sites }, (_, i) => ({
    id: `site${i}`,
    dataCentre: "d1",
  }));
  const blocks = Array.from({ length: designSize.blocks }, (_, i) => ({
    cidr: `${11 + Math.floor(i / 65_536)}.${Math.floor(i / 256) % 256}.${
      i % 256
    }.0/24`,
    site: `site${i % designSize.sites}`,
  }));
  const text = JSON.stringify({ ...cluster.fleet.document, sites });
  await cluster.operator(entry, {
    method: "POST",
    path: "/v1/publish",
    body: { text, blocks },
  });
  const random = seededRandom(options.seed);
  const url = () => {
    const block = Math.floor(random() * designSize.blocks);
    const client = `${11 + Math.floor(block / 65_536)}.${
      Math.floor(block / 256) % 256
    }.${block % 256}.9`;
    return `http://${entry.callers}/v1/lookup?member=bench&service=fast&client=${client}`;
  };
  const durationMillis = measureMillis * options.scale;
  await runLoop({
    urls: url,
    connections: 4,
    durationMillis: durationMillis / 2,
  });
  const pid = cluster.children.get(entry.id)?.process.pid ?? 0;
  const before = await readUsage(pid);
  const full = await runLoop({
    urls: url,
    connections: 4,
    pipelining: 8,
    durationMillis,
  });
  const after = await readUsage(pid);
  const direct = await runLoop({
    urls: () => `http://${entry.callers}/v1/health`,
    connections: 4,
    pipelining: 8,
    durationMillis,
  });
  const atRate = await paced(url, durationMillis);
  await cluster.stop();
  await cluster.removeFolder();
  const cpuMicros = 1e6 * (after.cpuSeconds - before.cpuSeconds) /
    full.latencies.length;
  const perCore = 1e6 / cpuMicros;
  return {
    bench: "lookup",
    seed: options.seed,
    arms: [
      {
        name: "look-ups, full load",
        perSecond: Math.round(full.requestsPerSecond),
        cpuMicros: round(cpuMicros),
        perCoreSecond: Math.round(perCore),
        failures: full.failures,
      },
      {
        name: "health, full load (the HTTP server alone)",
        perSecond: Math.round(direct.requestsPerSecond),
        failures: direct.failures,
      },
      {
        name: `look-ups at ${pacedPerSecond} a second`,
        p50Millis: round(quantile(atRate, 0.5)),
        p99Millis: round(quantile(atRate, 0.99)),
      },
    ],
    bounds: [
      atLeast("look-ups a second on one core", perCore, lookupsPerCoreAim),
      atMost(
        `p99 at ${pacedPerSecond} a second, ms`,
        quantile(atRate, 0.99),
        pacedP99AimMillis,
      ),
    ],
  };
}
