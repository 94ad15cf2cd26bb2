/**
 * Head-of-line blocking at Ndiaye's sizes: short look-ups while archive pulls
 * fifty times as long flood the same service.
 */
import type { Lane } from "@bamboolane/types/fleet";
import {
  atLeast,
  atMost,
  type BenchArm,
  type BenchOptions,
  type BenchReport,
  quantile,
  round,
} from "./bench_report.ts";
import {
  type Arrival,
  type BenchPool,
  BenchTargets,
  createPool,
  durations,
  type Ended,
  makeArrivals,
  makeTargets,
  makeWork,
  playArrivals,
  runInPool,
} from "./pool_harness.ts";

const firstPort = 28_010;
const lookupMillis = 20;
const archiveMillis = 50 * lookupMillis;
const lookupsPerSecond = 120;
/** More than all slots together can carry. */
const archivesPerSecond = 60;
const quietMillis = 5000;
const floodMillis = 10_000;
const bulkAfterMillis = 300;
const p99RatioLimit = 1.2;
const betterLimit = 10;

interface HolArm {
  name: string;
  singleQueue: boolean;
  /** Lane of archive pulls when nothing was learned. */
  declared: Lane;
  learns: boolean;
}

const arms: HolArm[] = [
  { name: "one queue", singleQueue: true, declared: "bulk", learns: false },
  {
    name: "declared lanes",
    singleQueue: false,
    declared: "bulk",
    learns: false,
  },
  {
    name: "undeclared, no learning",
    singleQueue: false,
    declared: "interactive",
    learns: false,
  },
  {
    name: "undeclared, lanes that learn",
    singleQueue: false,
    declared: "interactive",
    learns: true,
  },
];

function laneOf(arm: HolArm, pool: BenchPool, arrival: Arrival): Lane {
  if (arrival.kind === "lookup") return "interactive";
  return arm.learns && pool.learner.isLong("archive") ? "bulk" : arm.declared;
}

/** Learning needs some pulls; what came in before counts as its cost. */
const learningMillis = 3000;

async function runArm(
  arm: HolArm,
  targets: BenchTargets,
  options: BenchOptions,
) {
  const pool = createPool({
    targets: targets.specs,
    seed: options.seed,
    defaults: { bulkAfterMillis },
    pool: { singleQueue: arm.singleQueue },
  });
  const toMillis = quietMillis + floodMillis * options.scale;
  const arrivals = makeArrivals([
    { kind: "lookup", perSecond: lookupsPerSecond, toMillis },
    {
      kind: "archive",
      perSecond: archivesPerSecond,
      fromMillis: quietMillis,
      toMillis,
    },
  ], options.seed);
  const ended = await playArrivals(arrivals, (arrival) => {
    const lane = laneOf(arm, pool, arrival);
    return runInPool(pool, makeWork(arrival.kind, { lane }));
  });
  pool.task.close();
  return summarize(arm, ended);
}

function summarize(
  arm: HolArm,
  ended: Ended[],
): BenchArm & { ratio: number; p99Millis: number } {
  const isLookup = (a: Arrival) => a.kind === "lookup";
  const settled = quietMillis + learningMillis;
  const quiet = durations(
    ended,
    (a) => isLookup(a) && a.atMillis < quietMillis,
  );
  const flood = durations(ended, (a) => isLookup(a) && a.atMillis >= settled);
  const p99Millis = quantile(flood, 0.99);
  const archives = ended.filter((e) => e.arrival.kind === "archive");
  const lookups = ended.filter((e) => e.arrival.kind === "lookup");
  return {
    name: arm.name,
    quietP99Millis: round(quantile(quiet, 0.99)),
    p50Millis: round(quantile(flood, 0.5)),
    p99Millis: round(p99Millis),
    p999Millis: round(quantile(flood, 0.999)),
    ratio: round(p99Millis / quantile(quiet, 0.99)),
    lookupsRefused: lookups.filter((e) => !e.ok).length,
    archivesServed: archives.filter((e) => e.ok).length,
    archivesRefused: archives.filter((e) => !e.ok).length,
  };
}

/** Runs all arms with the same arrivals. */
export async function holBench(options: BenchOptions): Promise<BenchReport> {
  const behaviour = {
    slots: 3,
    serviceMillis: [
      { prefix: "/archive", millis: archiveMillis },
      { prefix: "/", millis: lookupMillis },
    ],
  };
  const specs = makeTargets("t", 12, { firstPort, behaviour, spread: 0.3 });
  const targets = new BenchTargets(specs, { controlPort: firstPort - 1 });
  await targets.start();
  const results = [];
  for (const arm of arms) results.push(await runArm(arm, targets, options));
  await targets.stop();
  const [one, declared, , learned] = results;
  return {
    bench: "hol",
    seed: options.seed,
    arms: results,
    bounds: [
      atMost(
        "declared lanes: p99 under flood to p99 without",
        declared.ratio,
        p99RatioLimit,
      ),
      atMost(
        "learned lanes: p99 under flood to p99 without",
        learned.ratio,
        p99RatioLimit,
      ),
      atLeast(
        "declared lanes: times better than one queue",
        one.p99Millis / declared.p99Millis,
        betterLimit,
      ),
      atLeast(
        "archive pulls served with declared lanes",
        Number(declared.archivesServed),
        1,
      ),
    ],
  };
}
