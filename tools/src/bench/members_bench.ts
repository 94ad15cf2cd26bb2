/**
 * Measures how a flood from one member affects another member of the same
 * service.
 */
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

const FIRST_PORT = 28_210;
const SERVICE_MILLIS = 60;
const TARGET_COUNT = 12;
const SLOTS = 3;
const QUIET_REQUESTS_PER_SECOND = 40;
/** The capacity of all slots; the quiet member's requests come on top. */
const FLOOD_REQUESTS_PER_SECOND = TARGET_COUNT * SLOTS * 1000 / SERVICE_MILLIS;
const ALONE_MILLIS = 4000;
const FLOOD_MILLIS = 6000;
const MAX_P99_RATIO = 1.2;
/** Flood requests served when shares are lent, as a multiple of those with fixed shares. */
const MIN_LENDING_GAIN = 1.3;

/** One way to share the targets between the members. */
interface MembersArm {
  name: string;
  pools: BenchPool[];
  /** Chooses the pool of a request and the member that it's queued under. */
  assign(arrival: Arrival): { pool: BenchPool; member: string };
}

function makeArms(targets: BenchTargets, seed: number): MembersArm[] {
  const defaults = { queueLimit: 200 };
  const createFullPool = () =>
    createPool({ targets: targets.specs, seed, defaults });
  const createHalfPool = (from: number) =>
    createPool({
      targets: targets.specs.slice(from, from + TARGET_COUNT / 2),
      seed,
      defaults,
    });
  const unshared = createFullPool();
  const halves = [createHalfPool(0), createHalfPool(TARGET_COUNT / 2)];
  const shared = createFullPool();
  return [
    {
      name: "no shares",
      pools: [unshared],
      // Both members are queued as one, so that they have no shares.
      assign: () => ({ pool: unshared, member: "all" }),
    },
    {
      name: "fixed shares",
      pools: halves,
      assign: ({ kind }) => ({
        pool: kind === "quiet" ? halves[0] : halves[1],
        member: kind,
      }),
    },
    {
      name: "shares with lending",
      pools: [shared],
      assign: ({ kind }) => ({ pool: shared, member: kind }),
    },
  ];
}

function summarize(
  arm: MembersArm,
  completed: CompletedArrival[],
  toMillis: number,
) {
  const quiet = (from: number, to: number) =>
    durations(
      completed,
      (a) => a.kind === "quiet" && a.atMillis >= from && a.atMillis < to,
    );
  const alone = quantile(quiet(500, ALONE_MILLIS), 0.99);
  const besideFlood = quantile(quiet(ALONE_MILLIS + 500, toMillis), 0.99);
  const flood = durations(completed, (a) => a.kind === "flood").length;
  const refused = completed.filter((e) => !e.ok);
  const result: BenchArm & { ratio: number; floodPerSecond: number } = {
    name: arm.name,
    quietAloneP99Millis: round(alone),
    quietP50Millis: round(quantile(quiet(ALONE_MILLIS, toMillis), 0.5)),
    quietP99Millis: round(besideFlood),
    ratio: round(besideFlood / alone),
    quietRefused: refused.filter((e) => e.arrival.kind === "quiet").length,
    floodPerSecond: round(flood * 1000 / (toMillis - ALONE_MILLIS)),
    floodRefused: refused.filter((e) => e.arrival.kind === "flood").length,
  };
  return result;
}

/** Runs all arms with the same arrivals. */
export async function membersBench(
  options: BenchOptions,
): Promise<BenchReport> {
  const behaviour = {
    slots: SLOTS,
    serviceMillis: [{ prefix: "/", millis: SERVICE_MILLIS }],
  };
  const specs = makeTargets("t", TARGET_COUNT, {
    firstPort: FIRST_PORT,
    behaviour,
    spread: 0.3,
  });
  const targets = new BenchTargets(specs, { controlPort: FIRST_PORT - 1 });
  await targets.start();
  const toMillis = ALONE_MILLIS + FLOOD_MILLIS * options.scale;
  const arrivals = makeArrivals([
    { kind: "quiet", perSecond: QUIET_REQUESTS_PER_SECOND, toMillis },
    {
      kind: "flood",
      perSecond: FLOOD_REQUESTS_PER_SECOND,
      fromMillis: ALONE_MILLIS,
      toMillis,
    },
  ], options.seed);
  const results = [];
  for (const arm of makeArms(targets, options.seed)) {
    const completed = await playArrivals(arrivals, (arrival) => {
      const { pool, member } = arm.assign(arrival);
      return runInPool(
        pool,
        makeWork("lookup", { lane: "interactive", member }),
      );
    });
    for (const pool of arm.pools) pool.task.close();
    results.push(summarize(arm, completed, toMillis));
  }
  await targets.stop();
  const [, fixed, lending] = results;
  return {
    bench: "members",
    seed: options.seed,
    arms: results,
    bounds: [
      atMost(
        "quiet member: p99 beside the flood to p99 alone",
        lending.ratio,
        MAX_P99_RATIO,
      ),
      atMost("quiet member: refused", Number(lending.quietRefused), 0),
      atLeast(
        "flood served with lending to fixed shares",
        lending.floodPerSecond / fixed.floodPerSecond,
        MIN_LENDING_GAIN,
      ),
    ],
  };
}
