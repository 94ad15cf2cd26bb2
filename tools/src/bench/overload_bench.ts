/**
 * Measures overload: one region is offered 150% of its capacity, the others
 * 60%; then the targets of one of the others crash.
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
  type CompletedArrival,
  durations,
  makeArrivals,
  makeWork,
  playArrivals,
  runInPool,
} from "./pool_harness.ts";
import {
  type BenchRegion,
  createRegionFleet,
  createRegions,
  isNotRun,
  type RegionOptions,
  simulateLinkLatency,
  startRegionTargets,
  toPoolView,
} from "./region_fleet.ts";

const SERVICE_MILLIS = 100;
const SPREAD = 0.3;
const SLOTS = 3;
const TARGETS_PER_REGION = 4;
const REGION_OPTIONS: Omit<RegionOptions, "seed"> = {
  firstPort: 28_410,
  targetsPerRegion: TARGETS_PER_REGION,
  slots: SLOTS,
  behaviour: { serviceMillis: [{ prefix: "/", millis: SERVICE_MILLIS }] },
  cap: TARGETS_PER_REGION * SLOTS,
  defaults: { queueWaitMillis: 1000, queueLimit: 40 },
};
/** Capacity of one region. `Math.exp` gives the mean of a log-normal factor with median 1. */
const CAPACITY_PER_SECOND = TARGETS_PER_REGION * SLOTS * 1000 /
  (SERVICE_MILLIS * Math.exp(SPREAD ** 2 / 2));
const FAILURE_AT_MILLIS = 8000;
const END_AT_MILLIS = 18_000;
const WINDOW_MILLIS = 1000;
/** Maximum age of the pool views in the arm "spill on stale load", and in the others. */
const STALE_VIEW_MILLIS = 2000;
const FRESH_VIEW_MILLIS = 500;
const MIN_GOODPUT_SHARE = 0.95;
const MAX_RECOVERY_SECONDS = 5;

/**
 * "local only" uses the home region alone. "spill on stale load" sends to the
 * first region by the pool views and tries no other. "spill by admission" tries
 * the regions in order until one admits the request.
 */
type OverloadArm = "local only" | "spill on stale load" | "spill by admission";

const fleet = createRegionFleet();

/** Pool views that are refreshed when they exceed a maximum age, as entries have of each other's pools. */
class CachedViews {
  readonly #regions: BenchRegion[];
  readonly #maxAgeMillis: number;
  #views: PoolView[] = [];
  #refreshedAtMillis = -Infinity;

  constructor(regions: BenchRegion[], maxAgeMillis: number) {
    this.#regions = regions;
    this.#maxAgeMillis = maxAgeMillis;
  }

  read(): PoolView[] {
    const nowMillis = performance.now();
    if (nowMillis - this.#refreshedAtMillis > this.#maxAgeMillis) {
      this.#refreshedAtMillis = nowMillis;
      this.#views = this.#regions.map(toPoolView);
    }
    return this.#views;
  }
}

async function runInRegion(
  regions: BenchRegion[],
  home: string,
  id: string,
): Promise<{ target: string }> {
  const region = regions.find((r) => r.id === id) as BenchRegion;
  await simulateLinkLatency(home, id);
  const result = await runInPool(
    region.pool,
    makeWork("lookup", { lane: "interactive" }),
  );
  await simulateLinkLatency(id, home);
  return result;
}

function orderRegions(home: string, views: PoolView[]): string[] {
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

async function runRequest(
  arm: OverloadArm,
  regions: BenchRegion[],
  options: { home: string; views: CachedViews },
): Promise<{ target: string }> {
  const { home, views } = options;
  switch (arm) {
    case "local only":
      return await runInRegion(regions, home, home);
    case "spill on stale load":
      return await runInRegion(
        regions,
        home,
        orderRegions(home, views.read())[0] ?? home,
      );
    case "spill by admission": {
      let lastError: unknown;
      for (const id of orderRegions(home, views.read())) {
        try {
          return await runInRegion(regions, home, id);
        } catch (error) {
          if (!isNotRun(error)) throw error;
          lastError = error;
        }
      }
      throw lastError ?? new Error("no region");
    }
  }
}

function answeredPerSecond(
  completed: CompletedArrival[],
  from: number,
  to: number,
): number {
  const count =
    completed.filter((e) =>
      e.ok && e.endedAtMillis >= from && e.endedAtMillis < to
    )
      .length;
  return count * 1000 / (to - from);
}

/** Seconds from the crash to the first window that reaches the minimum share of the allowed goodput. */
function recoverySeconds(
  completed: CompletedArrival[],
  allowedPerSecond: number,
): number {
  for (
    let from = FAILURE_AT_MILLIS;
    from + WINDOW_MILLIS <= END_AT_MILLIS;
    from += WINDOW_MILLIS / 4
  ) {
    const rate = answeredPerSecond(completed, from, from + WINDOW_MILLIS);
    if (rate >= MIN_GOODPUT_SHARE * allowedPerSecond) {
      return (from - FAILURE_AT_MILLIS) / 1000;
    }
  }
  return Infinity;
}

async function runArm(arm: OverloadArm, targets: BenchTargets, seed: number) {
  const regions = createRegions(targets, { ...REGION_OPTIONS, seed });
  const views = new CachedViews(
    regions,
    arm === "spill on stale load" ? STALE_VIEW_MILLIS : FRESH_VIEW_MILLIS,
  );
  const [, , north] = regions;
  const arrivals = makeArrivals([
    {
      kind: "east",
      perSecond: 1.5 * CAPACITY_PER_SECOND,
      toMillis: END_AT_MILLIS,
    },
    {
      kind: "west",
      perSecond: 0.6 * CAPACITY_PER_SECOND,
      toMillis: END_AT_MILLIS,
    },
    {
      kind: "north",
      perSecond: 0.6 * CAPACITY_PER_SECOND,
      toMillis: END_AT_MILLIS,
    },
  ], seed);
  const probes = setInterval(
    () => regions.forEach((r) => r.pool.task.probe(500)),
    500,
  );
  setTimeout(() => targets.crash(north.targetIds), FAILURE_AT_MILLIS);
  const completed = await playArrivals(
    arrivals,
    ({ kind }) => runRequest(arm, regions, { home: kind, views }),
  );
  clearInterval(probes);
  const breaches = regions.reduce((sum, r) => sum + r.pool.counts.breaches, 0);
  for (const region of regions) region.pool.task.close();
  const offeredPerSecond = (1.5 + 0.6 + 0.6) * CAPACITY_PER_SECOND;
  const remainingCapacityPerSecond = 2 * CAPACITY_PER_SECOND;
  const healthyPerSecond = answeredPerSecond(
    completed,
    2000,
    FAILURE_AT_MILLIS,
  );
  const degradedPerSecond = answeredPerSecond(
    completed,
    FAILURE_AT_MILLIS + 5000,
    END_AT_MILLIS,
  );
  const result: BenchArm & {
    before: number;
    after: number;
    breaches: number;
    recovery: number;
  } = {
    name: arm,
    p50Millis: round(quantile(durations(completed), 0.5)),
    p99Millis: round(quantile(durations(completed), 0.99)),
    refused: completed.filter((e) => !e.ok).length,
    before: round(healthyPerSecond / offeredPerSecond),
    after: round(degradedPerSecond / remainingCapacityPerSecond),
    recovery: recoverySeconds(completed, remainingCapacityPerSecond),
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
      ...REGION_OPTIONS,
      seed: options.seed,
    });
    results.push(await runArm(arm, targets, options.seed));
    await targets.stop();
  }
  const spillByAdmission = results[results.length - 1];
  return {
    bench: "overload",
    seed: options.seed,
    arms: results,
    bounds: [
      atMost(
        "regions above their cap, at the receiver",
        spillByAdmission.breaches,
        0,
      ),
      atLeast(
        "goodput to what is offered or allowed, all regions up",
        spillByAdmission.before,
        MIN_GOODPUT_SHARE,
      ),
      atLeast(
        "goodput to what the caps allow, one region down",
        spillByAdmission.after,
        MIN_GOODPUT_SHARE,
      ),
      atMost(
        "seconds to 95% after the crash",
        spillByAdmission.recovery,
        MAX_RECOVERY_SECONDS,
      ),
    ],
  };
}
