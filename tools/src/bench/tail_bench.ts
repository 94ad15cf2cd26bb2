/**
 * Measures tail latency at CycleStand's sizes: twelve targets of three slots at
 * 70% load, three of them slowed ten times for some seconds.
 */
import type { TargetStrategy } from "@bamboolane/route/choose_target";
import {
  atMost,
  type BenchArm,
  type BenchOptions,
  type BenchReport,
  quantile,
  round,
} from "./bench_report.ts";
import {
  BenchTargets,
  createPool,
  durations,
  makeArrivals,
  makeTargets,
  makeWork,
  playArrivals,
  runInPool,
} from "./pool_harness.ts";

const FIRST_PORT = 28_110;
const SERVICE_MILLIS = 100;
const SLOTS = 3;
const TARGET_COUNT = 12;
const OFFERED_LOAD = 0.7;
const SPREAD = 0.3;
const HEALTHY_MILLIS = 8000;
const SLOW_MILLIS = 8000;
const SLOW_FACTOR = 10;
const MAX_P99_RATIO = 1.5;
const MAX_HEDGE_SHARE = 0.05;
const MAX_RETRY_SHARE = 0.1;
/** Mean of a log-normal factor with median 1. */
const MEAN_WORK_FACTOR = Math.exp(SPREAD ** 2 / 2);

interface TailArm {
  name: string;
  strategy: TargetStrategy;
  hedging: boolean;
}

const ARMS: TailArm[] = [
  {
    name: "round robin",
    strategy: { kind: "round-robin", next: 0 },
    hedging: false,
  },
  { name: "random", strategy: { kind: "random" }, hedging: false },
  {
    name: "least outstanding",
    strategy: { kind: "least-outstanding" },
    hedging: false,
  },
  {
    name: "two choices, peak EWMA",
    strategy: { kind: "two-choices" },
    hedging: false,
  },
  {
    name: "expected finish",
    strategy: { kind: "expected-finish" },
    hedging: false,
  },
  {
    name: "expected finish, hedging",
    strategy: { kind: "expected-finish" },
    hedging: true,
  },
];

async function runArm(
  arm: TailArm,
  targets: BenchTargets,
  options: BenchOptions,
) {
  const pool = createPool({
    targets: targets.specs,
    seed: options.seed,
    pool: arm,
  });
  const perSecond = OFFERED_LOAD * TARGET_COUNT * SLOTS * 1000 /
    (SERVICE_MILLIS * MEAN_WORK_FACTOR);
  const slowUntilMillis = HEALTHY_MILLIS + SLOW_MILLIS * options.scale;
  const arrivals = makeArrivals([{
    kind: "lookup",
    perSecond,
    toMillis: slowUntilMillis,
  }], options.seed);
  const slowed = targets.specs.slice(0, 3).map((spec) => spec.id);
  const timer = setTimeout(
    () => targets.setBehaviour(slowed, { slowFactor: SLOW_FACTOR }),
    HEALTHY_MILLIS,
  );
  const completed = await playArrivals(
    arrivals,
    () => runInPool(pool, makeWork("lookup", { lane: "interactive" })),
  );
  clearTimeout(timer);
  await targets.setBehaviour(slowed, { slowFactor: 1 });
  pool.task.close();
  const warmupMillis = 1000;
  const healthy = durations(
    completed,
    (a) => a.atMillis > warmupMillis && a.atMillis < HEALTHY_MILLIS,
  );
  const slow = durations(completed, (a) => a.atMillis >= HEALTHY_MILLIS);
  const result: BenchArm & {
    ratio: number;
    hedgeShare: number;
    retryShare: number;
  } = {
    name: arm.name,
    healthyP99Millis: round(quantile(healthy, 0.99)),
    p50Millis: round(quantile(slow, 0.5)),
    p99Millis: round(quantile(slow, 0.99)),
    p999Millis: round(quantile(slow, 0.999)),
    ratio: round(quantile(slow, 0.99) / quantile(healthy, 0.99)),
    refused: completed.filter((e) => !e.ok).length,
    goodputPerSecond: round(
      durations(completed).length * 1000 / slowUntilMillis,
    ),
    hedgeShare: round(pool.counts.hedges / completed.length),
    retryShare: round(pool.counts.retries / completed.length),
  };
  return result;
}

/** Runs all arms with the same arrivals and the same slow targets. */
export async function tailBench(options: BenchOptions): Promise<BenchReport> {
  const behaviour = {
    slots: SLOTS,
    serviceMillis: [{ prefix: "/", millis: SERVICE_MILLIS }],
    // The targets report no slot in use, whatever their load.
    reportedLoad: 0,
  };
  const specs = makeTargets("t", TARGET_COUNT, {
    firstPort: FIRST_PORT,
    behaviour,
    spread: SPREAD,
  });
  const targets = new BenchTargets(specs, { controlPort: FIRST_PORT - 1 });
  await targets.start();
  const results = [];
  for (const arm of ARMS) results.push(await runArm(arm, targets, options));
  await targets.stop();
  const product = results[results.length - 1];
  return {
    bench: "tail",
    seed: options.seed,
    arms: results,
    bounds: [
      atMost(
        "ours: p99 with slow targets to healthy p99",
        product.ratio,
        MAX_P99_RATIO,
      ),
      atMost("hedges to requests", product.hedgeShare, MAX_HEDGE_SHARE),
      atMost("retries to requests", product.retryShare, MAX_RETRY_SHARE),
    ],
  };
}
