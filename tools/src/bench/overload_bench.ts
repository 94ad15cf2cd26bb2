/**
 * One region is offered 150% of what it carries, the others 60%; then one of
 * the others dies.
 */
import {
  chooseDataCentres,
  type PoolView,
} from "@bamboolane/route/choose_data_centre";
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
  type BenchTargets,
  durations,
  type Ended,
  makeArrivals,
  makeWork,
  playArrivals,
  runInPool,
} from "./pool_harness.ts";
import {
  type BenchRegion,
  createRegions,
  isNotRun,
  regionFleet,
  type RegionOptions,
  startRegionTargets,
  travel,
  viewOf,
} from "./region_fleet.ts";

const serviceMillis = 100;
const spread = 0.3;
const slots = 3;
const targetsPerRegion = 4;
const regionOptions: Omit<RegionOptions, "seed"> = {
  firstPort: 28_410,
  targetsPerRegion,
  slots,
  behaviour: { serviceMillis: [{ prefix: "/", millis: serviceMillis }] },
  cap: targetsPerRegion * slots,
  defaults: { queueWaitMillis: 1000, queueLimit: 40 },
};
const capacityPerSecond = targetsPerRegion * slots * 1000 /
  (serviceMillis * Math.exp(spread ** 2 / 2));
const dieAtMillis = 8000;
const endAtMillis = 18_000;
const windowMillis = 1000;
const staleMillis = 2000;
const loadLagMillis = 500;
const goodputLimit = 0.95;
const recoveryLimitSeconds = 5;

type OverloadArm = "local only" | "spill on stale load" | "spill by admission";

const fleet = regionFleet();

/** Views that are refreshed only now and then, as gossip is. */
class LaggingViews {
  readonly #regions: BenchRegion[];
  readonly #lagMillis: number;
  #views: PoolView[] = [];
  #atMillis = -Infinity;

  constructor(regions: BenchRegion[], lagMillis: number) {
    this.#regions = regions;
    this.#lagMillis = lagMillis;
  }

  read(): PoolView[] {
    const now = performance.now();
    if (now - this.#atMillis > this.#lagMillis) {
      this.#atMillis = now;
      this.#views = this.#regions.map(viewOf);
    }
    return this.#views;
  }
}

async function runAt(
  regions: BenchRegion[],
  home: string,
  id: string,
): Promise<{ target: string }> {
  const region = regions.find((r) => r.id === id) as BenchRegion;
  await travel(home, id);
  const result = await runInPool(
    region.pool,
    makeWork("lookup", { lane: "interactive" }),
  );
  await travel(id, home);
  return result;
}

function order(home: string, views: PoolView[]): string[] {
  const service = fleet.services[0];
  return chooseDataCentres({
    fleet,
    service,
    home,
    localDataCentre: home,
    pools: views,
    cutOff: false,
  })
    .map((candidate) => candidate.dataCentre);
}

async function runOne(
  arm: OverloadArm,
  regions: BenchRegion[],
  options: { home: string; views: LaggingViews },
): Promise<{ target: string }> {
  const { home, views } = options;
  switch (arm) {
    case "local only":
      return await runAt(regions, home, home);
    case "spill on stale load":
      return await runAt(regions, home, order(home, views.read())[0] ?? home);
    case "spill by admission": {
      let last: unknown;
      for (const id of order(home, views.read())) {
        try {
          return await runAt(regions, home, id);
        } catch (error) {
          if (!isNotRun(error)) throw error;
          last = error;
        }
      }
      throw last ?? new Error("no region");
    }
  }
}

function answeredPerSecond(ended: Ended[], from: number, to: number): number {
  const count =
    ended.filter((e) => e.ok && e.endedAtMillis >= from && e.endedAtMillis < to)
      .length;
  return count * 1000 / (to - from);
}

/** Seconds after the death until a window reaches the allowed goodput. */
function recoverySeconds(ended: Ended[], allowedPerSecond: number): number {
  for (
    let from = dieAtMillis;
    from + windowMillis <= endAtMillis;
    from += windowMillis / 4
  ) {
    const rate = answeredPerSecond(ended, from, from + windowMillis);
    if (rate >= goodputLimit * allowedPerSecond) {
      return (from - dieAtMillis) / 1000;
    }
  }
  return Infinity;
}

async function runArm(arm: OverloadArm, targets: BenchTargets, seed: number) {
  const regions = createRegions(targets, { ...regionOptions, seed });
  const views = new LaggingViews(
    regions,
    arm === "spill on stale load" ? staleMillis : loadLagMillis,
  );
  const [, , north] = regions;
  const arrivals = makeArrivals([
    { kind: "east", perSecond: 1.5 * capacityPerSecond, toMillis: endAtMillis },
    { kind: "west", perSecond: 0.6 * capacityPerSecond, toMillis: endAtMillis },
    {
      kind: "north",
      perSecond: 0.6 * capacityPerSecond,
      toMillis: endAtMillis,
    },
  ], seed);
  const probes = setInterval(
    () => regions.forEach((r) => r.pool.task.probe(500)),
    500,
  );
  setTimeout(() => targets.crash(north.targetIds), dieAtMillis);
  const ended = await playArrivals(
    arrivals,
    ({ kind }) => runOne(arm, regions, { home: kind, views }),
  );
  clearInterval(probes);
  const breaches = regions.reduce((sum, r) => sum + r.pool.counts.breaches, 0);
  for (const region of regions) region.pool.task.close();
  const before = (1.5 + 0.6 + 0.6) * capacityPerSecond;
  const after = 2 * capacityPerSecond;
  const healthy = answeredPerSecond(ended, 2000, dieAtMillis);
  const degraded = answeredPerSecond(ended, dieAtMillis + 5000, endAtMillis);
  const result: BenchArm & {
    before: number;
    after: number;
    breaches: number;
    recovery: number;
  } = {
    name: arm,
    p50Millis: round(quantile(durations(ended), 0.5)),
    p99Millis: round(quantile(durations(ended), 0.99)),
    refused: ended.filter((e) => !e.ok).length,
    before: round(healthy / before),
    after: round(degraded / after),
    recovery: recoverySeconds(ended, after),
    breaches,
  };
  return result;
}

/** Runs all arms with the same arrivals. */
export async function overloadBench(
  options: BenchOptions,
): Promise<BenchReport> {
  const arms: OverloadArm[] = [
    "local only",
    "spill on stale load",
    "spill by admission",
  ];
  const results = [];
  for (const arm of arms) {
    const targets = await startRegionTargets({
      ...regionOptions,
      seed: options.seed,
    });
    results.push(await runArm(arm, targets, options.seed));
    await targets.stop();
  }
  const ours = results[results.length - 1];
  return {
    bench: "overload",
    seed: options.seed,
    arms: results,
    bounds: [
      atMost("regions above their cap, at the receiver", ours.breaches, 0),
      atLeast(
        "goodput to what is offered or allowed, all regions up",
        ours.before,
        goodputLimit,
      ),
      atLeast(
        "goodput to what the caps allow, one region dead",
        ours.after,
        goodputLimit,
      ),
      atMost(
        "seconds to 95% after the death",
        ours.recovery,
        recoveryLimitSeconds,
      ),
    ],
  };
}
