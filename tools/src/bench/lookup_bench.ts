/**
 * Measures look-ups at one entry that holds 380,000 client blocks and 88 sites.
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
import { runClosedLoop } from "./closed_loop.ts";
import { DESIGN_SIZE } from "./control_bench.ts";
import { FAST_PROFILE } from "./entry_bench.ts";
import { readUsage } from "./process_usage.ts";

const BASE_PORT = 27_000;
const MEASURE_MILLIS = 5000;
const PACED_LOOKUPS_PER_SECOND = 700;
const MIN_LOOKUPS_PER_CORE_SECOND = 10_000;
const MAX_PACED_P99_MILLIS = 2;

/** Sends look-ups at a steady rate; returns their latencies in milliseconds. */
async function runPaced(
  lookupUrl: () => string,
  durationMillis: number,
): Promise<number[]> {
  const agent = new Agent({ connections: 8 });
  const latenciesMillis: number[] = [];
  const workers = 7;
  const gapMillis = 1000 * workers / PACED_LOOKUPS_PER_SECOND;
  const loops = Array.from({ length: workers }, async (_, index) => {
    const startedAtMillis = performance.now() + index * gapMillis / workers;
    for (let n = 0; n * gapMillis < durationMillis; n++) {
      const wait = startedAtMillis + n * gapMillis - performance.now();
      if (wait > 0) await new Promise((resolve) => setTimeout(resolve, wait));
      const sentAtMillis = performance.now();
      await (await request(lookupUrl(), { dispatcher: agent })).body.dump();
      latenciesMillis.push(performance.now() - sentAtMillis);
    }
  });
  await Promise.all(loops);
  await agent.destroy();
  return latenciesMillis;
}

/**
 * Measures look-ups under full load and at a steady rate, and for comparison
 * health requests under full load.
 */
export async function lookupBench(options: BenchOptions): Promise<BenchReport> {
  const cluster = await prepareCluster({
    layout: {
      profiles: [FAST_PROFILE],
      targetsPerDataCentre: 1,
      capInFlight: 100,
      lookupTtlSeconds: 1,
    },
    entriesPerDataCentre: [1],
    basePort: BASE_PORT,
    settings: { stopOnBreach: false },
  });
  await cluster.start();
  const [entry] = cluster.entries;
  const sites = Array.from({ length: DESIGN_SIZE.sites }, (_, i) => ({
    id: `site${i}`,
    dataCentre: "d1",
  }));
  const blocks = Array.from({ length: DESIGN_SIZE.blocks }, (_, i) => ({
    cidr: `${11 + Math.floor(i / 65_536)}.${Math.floor(i / 256) % 256}.${
      i % 256
    }.0/24`,
    site: `site${i % DESIGN_SIZE.sites}`,
  }));
  const text = JSON.stringify({ ...cluster.fleet.document, sites });
  await cluster.callOperator(entry, {
    method: "POST",
    path: "/v1/publish",
    body: { text, blocks },
  });
  const random = seededRandom(options.seed);
  const lookupUrl = () => {
    const block = Math.floor(random() * DESIGN_SIZE.blocks);
    const client = `${11 + Math.floor(block / 65_536)}.${
      Math.floor(block / 256) % 256
    }.${block % 256}.9`;
    return `http://${entry.callers}/v1/lookup?member=bench&service=fast&client=${client}`;
  };
  const durationMillis = MEASURE_MILLIS * options.scale;
  await runClosedLoop({
    nextUrl: lookupUrl,
    connections: 4,
    durationMillis: durationMillis / 2,
  });
  const pid = cluster.children.get(entry.id)?.process.pid ?? 0;
  const before = await readUsage(pid);
  const fullLoad = await runClosedLoop({
    nextUrl: lookupUrl,
    connections: 4,
    pipelining: 8,
    durationMillis,
  });
  const after = await readUsage(pid);
  const health = await runClosedLoop({
    nextUrl: () => `http://${entry.callers}/v1/health`,
    connections: 4,
    pipelining: 8,
    durationMillis,
  });
  const pacedMillis = await runPaced(lookupUrl, durationMillis);
  await cluster.stop();
  await cluster.removeFolder();
  const cpuMicros = 1e6 * (after.cpuSeconds - before.cpuSeconds) /
    fullLoad.latenciesMillis.length;
  const perCore = 1e6 / cpuMicros;
  return {
    bench: "lookup",
    seed: options.seed,
    arms: [
      {
        name: "look-ups, full load",
        perSecond: Math.round(fullLoad.requestsPerSecond),
        cpuMicros: round(cpuMicros),
        perCoreSecond: Math.round(perCore),
        failures: fullLoad.failures,
      },
      {
        name: "health, full load (the HTTP server alone)",
        perSecond: Math.round(health.requestsPerSecond),
        failures: health.failures,
      },
      {
        name: `look-ups at ${PACED_LOOKUPS_PER_SECOND} a second`,
        p50Millis: round(quantile(pacedMillis, 0.5)),
        p99Millis: round(quantile(pacedMillis, 0.99)),
      },
    ],
    bounds: [
      atLeast(
        "look-ups a second on one core",
        perCore,
        MIN_LOOKUPS_PER_CORE_SECOND,
      ),
      atMost(
        `p99 at ${PACED_LOOKUPS_PER_SECOND} a second, ms`,
        quantile(pacedMillis, 0.99),
        MAX_PACED_P99_MILLIS,
      ),
    ],
  };
}
