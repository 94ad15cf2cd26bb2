/**
 * Measures head-of-line blocking at Ndiaye's sizes: short requests, here called
 * look-ups, during a flood of archive pulls at the same service. An archive pull
 * takes fifty times as long as a look-up.
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
  type CompletedArrival,
  createPool,
  durations,
  makeArrivals,
  makeTargets,
  makeWork,
  playArrivals,
  runInPool,
} from "./pool_harness.ts";

const FIRST_PORT = 28_010;
const LOOKUP_MILLIS = 20;
const ARCHIVE_MILLIS = 50 * LOOKUP_MILLIS;
const LOOKUPS_PER_SECOND = 120;
/** Exceeds the capacity of all slots together. */
const ARCHIVES_PER_SECOND = 60;
const QUIET_MILLIS = 5000;
const FLOOD_MILLIS = 10_000;
const BULK_AFTER_MILLIS = 300;
const MAX_P99_RATIO = 1.2;
const MIN_P99_IMPROVEMENT = 10;

interface HolArm {
  name: string;
  singleQueue: boolean;
  /** Lane of archive pulls unless they are learned to be long. */
  declared: Lane;
  /** Moves archive pulls to the bulk lane once they are learned to be long. */
  learns: boolean;
}

const ARMS: HolArm[] = [
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

function chooseLane(arm: HolArm, pool: BenchPool, arrival: Arrival): Lane {
  if (arrival.kind === "lookup") return "interactive";
  return arm.learns && pool.learner.isLong("archive") ? "bulk" : arm.declared;
}

/** The figures leave out this first part of the flood: learning a lane takes some archive pulls. */
const LEARNING_MILLIS = 3000;

async function runArm(
  arm: HolArm,
  targets: BenchTargets,
  options: BenchOptions,
) {
  const pool = createPool({
    targets: targets.specs,
    seed: options.seed,
    defaults: { bulkAfterMillis: BULK_AFTER_MILLIS },
    pool: { singleQueue: arm.singleQueue },
  });
  const toMillis = QUIET_MILLIS + FLOOD_MILLIS * options.scale;
  const arrivals = makeArrivals([
    { kind: "lookup", perSecond: LOOKUPS_PER_SECOND, toMillis },
    {
      kind: "archive",
      perSecond: ARCHIVES_PER_SECOND,
      fromMillis: QUIET_MILLIS,
      toMillis,
    },
  ], options.seed);
  const completed = await playArrivals(arrivals, (arrival) => {
    const lane = chooseLane(arm, pool, arrival);
    return runInPool(pool, makeWork(arrival.kind, { lane }));
  });
  pool.task.close();
  return summarize(arm, completed);
}

function summarize(
  arm: HolArm,
  completed: CompletedArrival[],
): BenchArm & { ratio: number; p99Millis: number } {
  const isLookup = (a: Arrival) => a.kind === "lookup";
  const learnedAtMillis = QUIET_MILLIS + LEARNING_MILLIS;
  const quiet = durations(
    completed,
    (a) => isLookup(a) && a.atMillis < QUIET_MILLIS,
  );
  const flood = durations(
    completed,
    (a) => isLookup(a) && a.atMillis >= learnedAtMillis,
  );
  const p99Millis = quantile(flood, 0.99);
  const archives = completed.filter((e) => e.arrival.kind === "archive");
  const lookups = completed.filter((e) => e.arrival.kind === "lookup");
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
      { prefix: "/archive", millis: ARCHIVE_MILLIS },
      { prefix: "/", millis: LOOKUP_MILLIS },
    ],
  };
  const specs = makeTargets("t", 12, {
    firstPort: FIRST_PORT,
    behaviour,
    spread: 0.3,
  });
  const targets = new BenchTargets(specs, { controlPort: FIRST_PORT - 1 });
  await targets.start();
  const results = [];
  for (const arm of ARMS) results.push(await runArm(arm, targets, options));
  await targets.stop();
  const [oneQueue, declared, , learned] = results;
  return {
    bench: "hol",
    seed: options.seed,
    arms: results,
    bounds: [
      atMost(
        "declared lanes: p99 under flood to p99 without",
        declared.ratio,
        MAX_P99_RATIO,
      ),
      atMost(
        "learned lanes: p99 under flood to p99 without",
        learned.ratio,
        MAX_P99_RATIO,
      ),
      atLeast(
        "declared lanes: times better than one queue",
        oneQueue.p99Millis / declared.p99Millis,
        MIN_P99_IMPROVEMENT,
      ),
      atLeast(
        "archive pulls served with declared lanes",
        Number(declared.archivesServed),
        1,
      ),
    ],
  };
}
