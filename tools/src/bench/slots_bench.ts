/**
 * Three entries of one data centre share the targets' slots in three ways;
 * one entry is killed midway.
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
  createPool,
  durations,
  type Ended,
  makeArrivals,
  makeTargets,
  makeWork,
  playArrivals,
  runInPool,
} from "./pool_harness.ts";

const firstPort = 28_310;
const serviceMillis = 60;
const slots = 3;
const targetCount = 4;
const entryCount = 3;
const perSecond = 0.7 * targetCount * slots * 1000 / serviceMillis;
const healthyMillis = 6000;
const afterKillMillis = 5000;
/** One way between entries of one data centre, at both users. */
const hopMillis = 1.5;
/** Until the others have taken over from a killed entry. */
const takeoverMillis = 300;

interface SlotsArm {
  name: string;
  pools: BenchPool[];
  /** Entry that runs what the caller sent to `entry`. */
  ownerOf(entry: number, killed: boolean): number;
}

function makeArms(targets: BenchTargets, seed: number): SlotsArm[] {
  const pools = (slotsEach: number) =>
    Array.from(
      { length: entryCount },
      (_, i) =>
        createPool({
          targets: targets.specs,
          seed: seed + i,
          slots: slotsEach,
        }),
    );
  const alive = (entry: number, killed: boolean) =>
    killed && entry === 0 ? 1 : entry;
  return [
    { name: "split", pools: pools(slots / entryCount), ownerOf: alive },
    {
      name: "owner",
      pools: pools(slots),
      ownerOf: (_, killed) => killed ? 1 : 0,
    },
    { name: "optimistic", pools: pools(slots), ownerOf: alive },
  ];
}

function wait(millis: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, millis));
}

async function runArm(arm: SlotsArm, arrivals: Arrival[]): Promise<Ended[]> {
  let killed = false;
  let takenOver = false;
  const abort = new AbortController();
  setTimeout(() => {
    killed = true;
    abort.abort();
  }, healthyMillis);
  setTimeout(() => takenOver = true, healthyMillis + takeoverMillis);
  const ended = await playArrivals(arrivals, async (arrival) => {
    const entry = Math.floor(arrival.dice * entryCount);
    const owner = arm.ownerOf(entry, takenOver);
    if (killed && owner === 0) throw new Error("entry is gone");
    if (owner !== entry) await wait(2 * hopMillis);
    const work = makeWork("lookup", { lane: "interactive" });
    if (owner === 0) work.signal = abort.signal;
    return await runInPool(arm.pools[owner], work);
  });
  for (const pool of arm.pools) pool.task.close();
  return ended;
}

function summarize(name: string, ended: Ended[]) {
  const healthy = durations(
    ended,
    (a) => a.atMillis > 1000 && a.atMillis < healthyMillis,
  );
  const after = durations(
    ended,
    (a) => a.atMillis > healthyMillis + 2 * takeoverMillis,
  );
  const result: BenchArm & { retries: number } = {
    name,
    p50Millis: round(quantile(healthy, 0.5)),
    p99Millis: round(quantile(healthy, 0.99)),
    p999Millis: round(quantile(healthy, 0.999)),
    p99AfterKillMillis: round(quantile(after, 0.99)),
    lost: ended.filter((e) => !e.ok).length,
    retries: 0,
  };
  return result;
}

/** Runs all arms with the same arrivals. */
export async function slotsBench(options: BenchOptions): Promise<BenchReport> {
  const behaviour = {
    slots,
    serviceMillis: [{ prefix: "/", millis: serviceMillis }],
  };
  const specs = makeTargets("t", targetCount, {
    firstPort,
    behaviour,
    spread: 0.5,
  });
  const targets = new BenchTargets(specs, { controlPort: firstPort - 1 });
  await targets.start();
  const toMillis = healthyMillis + afterKillMillis * options.scale;
  const arrivals = makeArrivals(
    [{ kind: "lookup", perSecond, toMillis }],
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
