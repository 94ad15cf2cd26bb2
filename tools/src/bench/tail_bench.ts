/**
 * Tail at CycleStand's sizes: twelve targets of three slots, three of them
 * slowed ten times for some seconds, at 70% load.
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

const firstPort = 28_110;
const serviceMillis = 100;
const slots = 3;
const targetCount = 12;
const load = 0.7;
const spread = 0.3;
const healthyMillis = 8000;
const slowMillis = 8000;
const slowFactor = 10;
const p99RatioLimit = 1.5;
const hedgeLimit = 0.05;
const retryLimit = 0.1;
/** Mean of a log-normal factor with median 1. */
const meanFactor = Math.exp(spread ** 2 / 2);

interface TailArm {
  name: string;
  strategy: TargetStrategy;
  hedging: boolean;
}

const arms: TailArm[] = [
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
  const perSecond = load * targetCount * slots * 1000 /
    (serviceMillis * meanFactor);
  const slowUntil = healthyMillis + slowMillis * options.scale;
  const arrivals = makeArrivals([{
    kind: "lookup",
    perSecond,
    toMillis: slowUntil,
  }], options.seed);
  const slowed = targets.specs.slice(0, 3).map((spec) => spec.id);
  const timer = setTimeout(
    () => targets.set(slowed, { slowFactor }),
    healthyMillis,
  );
  const ended = await playArrivals(
    arrivals,
    () => runInPool(pool, makeWork("lookup", { lane: "interactive" })),
  );
  clearTimeout(timer);
  await targets.set(slowed, { slowFactor: 1 });
  pool.task.close();
  const warm = 1000;
  const healthy = durations(
    ended,
    (a) => a.atMillis > warm && a.atMillis < healthyMillis,
  );
  const slow = durations(ended, (a) => a.atMillis >= healthyMillis);
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
    refused: ended.filter((e) => !e.ok).length,
    goodputPerSecond: round(durations(ended).length * 1000 / slowUntil),
    hedgeShare: round(pool.counts.hedges / ended.length),
    retryShare: round(pool.counts.retries / ended.length),
  };
  return result;
}

/** Runs all arms with the same arrivals and the same slow targets. */
export async function tailBench(options: BenchOptions): Promise<BenchReport> {
  const behaviour = {
    slots,
    serviceMillis: [{ prefix: "/", millis: serviceMillis }],
    reportedLoad: 0,
  };
  const specs = makeTargets("t", targetCount, { firstPort, behaviour, spread });
  const targets = new BenchTargets(specs, { controlPort: firstPort - 1 });
  await targets.start();
  const results = [];
  for (const arm of arms) results.push(await runArm(arm, targets, options));
  await targets.stop();
  const ours = results[results.length - 1];
  return {
    bench: "tail",
    seed: options.seed,
    arms: results,
    bounds: [
      atMost(
        "ours: p99 with slow targets to healthy p99",
        ours.ratio,
        p99RatioLimit,
      ),
      atMost("hedges to requests", ours.hedgeShare, hedgeLimit),
      atMost("retries to requests", ours.retryShare, retryLimit),
    ],
  };
}
