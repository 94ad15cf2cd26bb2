/**
 * Compares three ways in which three entries of one data centre share the
 * targets' slots; one entry is killed midway.
 */
import {
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

const FIRST_PORT = 28_310;
const SERVICE_MILLIS = 60;
const SLOTS = 3;
const TARGET_COUNT = 4;
const ENTRY_COUNT = 3;
const REQUESTS_PER_SECOND = 0.7 * TARGET_COUNT * SLOTS * 1000 / SERVICE_MILLIS;
const HEALTHY_MILLIS = 6000;
const AFTER_KILL_MILLIS = 5000;
/** One-way latency between entries of one data centre, the same for both users. */
const HOP_LATENCY_MILLIS = 1.5;
/** Time until the other entries have taken over from a killed one. */
const TAKEOVER_MILLIS = 300;

/**
 * One way to share the slots. "split": each entry has an equal part of every
 * target's slots. "owner": one entry has all slots and runs the requests of all
 * entries. "optimistic": each entry uses all slots as if it were alone, and the
 * targets shed what exceeds them.
 */
interface SlotsArm {
  name: string;
  /** Pools of the entries, by index; the entry with index 0 is killed. */
  pools: BenchPool[];
  /** Index of the entry that runs a request sent to `entry`. */
  ownerOf(entry: number, isTakenOver: boolean): number;
}

function makeArms(targets: BenchTargets, seed: number): SlotsArm[] {
  const pools = (slotsPerEntry: number) =>
    Array.from(
      { length: ENTRY_COUNT },
      (_, i) =>
        createPool({
          targets: targets.specs,
          seed: seed + i,
          slots: slotsPerEntry,
        }),
    );
  const redirectFromKilled = (entry: number, isTakenOver: boolean) =>
    isTakenOver && entry === 0 ? 1 : entry;
  return [
    {
      name: "split",
      pools: pools(SLOTS / ENTRY_COUNT),
      ownerOf: redirectFromKilled,
    },
    {
      name: "owner",
      pools: pools(SLOTS),
      ownerOf: (_, isTakenOver) => isTakenOver ? 1 : 0,
    },
    { name: "optimistic", pools: pools(SLOTS), ownerOf: redirectFromKilled },
  ];
}

function wait(millis: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, millis));
}

async function runArm(
  arm: SlotsArm,
  arrivals: Arrival[],
): Promise<CompletedArrival[]> {
  let killed = false;
  let takenOver = false;
  const abort = new AbortController();
  setTimeout(() => {
    killed = true;
    abort.abort();
  }, HEALTHY_MILLIS);
  setTimeout(() => takenOver = true, HEALTHY_MILLIS + TAKEOVER_MILLIS);
  const completed = await playArrivals(arrivals, async (arrival) => {
    const entry = Math.floor(arrival.randomValue * ENTRY_COUNT);
    const owner = arm.ownerOf(entry, takenOver);
    if (killed && owner === 0) throw new Error("the entry was killed");
    if (owner !== entry) await wait(2 * HOP_LATENCY_MILLIS);
    const work = makeWork("lookup", { lane: "interactive" });
    if (owner === 0) work.signal = abort.signal;
    return await runInPool(arm.pools[owner], work);
  });
  for (const pool of arm.pools) pool.task.close();
  return completed;
}

function summarize(name: string, completed: CompletedArrival[]) {
  const healthy = durations(
    completed,
    (a) => a.atMillis > 1000 && a.atMillis < HEALTHY_MILLIS,
  );
  const after = durations(
    completed,
    (a) => a.atMillis > HEALTHY_MILLIS + 2 * TAKEOVER_MILLIS,
  );
  const result: BenchArm & { retries: number } = {
    name,
    p50Millis: round(quantile(healthy, 0.5)),
    p99Millis: round(quantile(healthy, 0.99)),
    p999Millis: round(quantile(healthy, 0.999)),
    p99AfterKillMillis: round(quantile(after, 0.99)),
    lost: completed.filter((e) => !e.ok).length,
    retries: 0,
  };
  return result;
}

/** Runs all arms with the same arrivals. */
export async function slotsBench(options: BenchOptions): Promise<BenchReport> {
  const behaviour = {
    slots: SLOTS,
    serviceMillis: [{ prefix: "/", millis: SERVICE_MILLIS }],
  };
  const specs = makeTargets("t", TARGET_COUNT, {
    firstPort: FIRST_PORT,
    behaviour,
    spread: 0.5,
  });
  const targets = new BenchTargets(specs, { controlPort: FIRST_PORT - 1 });
  await targets.start();
  const toMillis = HEALTHY_MILLIS + AFTER_KILL_MILLIS * options.scale;
  const arrivals = makeArrivals(
    [{ kind: "lookup", perSecond: REQUESTS_PER_SECOND, toMillis }],
    options.seed,
  );
  const results = [];
  for (const arm of makeArms(targets, options.seed)) {
    const summary = summarize(arm.name, await runArm(arm, arrivals));
    summary.retries = arm.pools.reduce(
      (sum, pool) => sum + pool.counts.retries,
      0,
    );
    results.push(summary);
  }
  await targets.stop();
  return {
    bench: "slots",
    seed: options.seed,
    arms: results,
    bounds: [
      atMost("owner: requests that targets shed", results[1].retries, 0),
    ],
  };
}
