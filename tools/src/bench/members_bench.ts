/**
 * One member floods a service, the other does not.
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
  createPool,
  durations,
  type Ended,
  makeArrivals,
  makeTargets,
  makeWork,
  playArrivals,
  runInPool,
} from "./pool_harness.ts";

const firstPort = 28_210;
const serviceMillis = 60;
const targetCount = 12;
const slots = 3;
const quietPerSecond = 40;
/** As much as all slots carry; the quiet member comes on top. */
const floodPerSecond = targetCount * slots * 1000 / serviceMillis;
const aloneMillis = 4000;
const floodMillis = 6000;
const p99RatioLimit = 1.2;
const lentLimit = 1.3;

/** Chooses the pool and the name under which a member queues. */
interface MembersArm {
  name: string;
  pools: BenchPool[];
  place(arrival: Arrival): { pool: BenchPool; member: string };
}

function makeArms(targets: BenchTargets, seed: number): MembersArm[] {
  const defaults = { queueLimit: 200 };
  const whole = () => createPool({ targets: targets.specs, seed, defaults });
  const half = (from: number) =>
    createPool({
      targets: targets.specs.slice(from, from + targetCount / 2),
      seed,
      defaults,
    });
  const one = whole();
  const parts = [half(0), half(targetCount / 2)];
  const shared = whole();
  return [
    {
      name: "no shares",
      pools: [one],
      place: () => ({ pool: one, member: "all" }),
    },
    {
      name: "fixed shares",
      pools: parts,
      place: ({ kind }) => ({
        pool: kind === "quiet" ? parts[0] : parts[1],
        member: kind,
      }),
    },
    {
      name: "shares with lending",
      pools: [shared],
      place: ({ kind }) => ({ pool: shared, member: kind }),
    },
  ];
}

function summarize(arm: MembersArm, ended: Ended[], toMillis: number) {
  const quiet = (from: number, to: number) =>
    durations(
      ended,
      (a) => a.kind === "quiet" && a.atMillis >= from && a.atMillis < to,
    );
  const alone = quantile(quiet(500, aloneMillis), 0.99);
  const beside = quantile(quiet(aloneMillis + 500, toMillis), 0.99);
  const flood = durations(ended, (a) => a.kind === "flood").length;
  const refused = ended.filter((e) => !e.ok);
  const result: BenchArm & { ratio: number; floodPerSecond: number } = {
    name: arm.name,
    quietAloneP99Millis: round(alone),
    quietP50Millis: round(quantile(quiet(aloneMillis, toMillis), 0.5)),
    quietP99Millis: round(beside),
    ratio: round(beside / alone),
    quietRefused: refused.filter((e) => e.arrival.kind === "quiet").length,
    floodPerSecond: round(flood * 1000 / (toMillis - aloneMillis)),
    floodRefused: refused.filter((e) => e.arrival.kind === "flood").length,
  };
  return result;
}

/** Runs all arms with the same arrivals. */
export async function membersBench(
  options: BenchOptions,
): Promise<BenchReport> {
  const behaviour = {
    slots,
    serviceMillis: [{ prefix: "/", millis: serviceMillis }],
  };
  const specs = makeTargets("t", targetCount, {
    firstPort,
    behaviour,
    spread: 0.3,
  });
  const targets = new BenchTargets(specs, { controlPort: firstPort - 1 });
  await targets.start();
  const toMillis = aloneMillis + floodMillis * options.scale;
  const arrivals = makeArrivals([
    { kind: "quiet", perSecond: quietPerSecond, toMillis },
    {
      kind: "flood",
      perSecond: floodPerSecond,
      fromMillis: aloneMillis,
      toMillis,
    },
  ], options.seed);
  const results = [];
  for (const arm of makeArms(targets, options.seed)) {
    const ended = await playArrivals(arrivals, (arrival) => {
      const { pool, member } = arm.place(arrival);
      return runInPool(
        pool,
        makeWork("lookup", { lane: "interactive", member }),
      );
    });
    for (const pool of arm.pools) pool.task.close();
    results.push(summarize(arm, ended, toMillis));
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
        p99RatioLimit,
      ),
      atMost("quiet member: refused", Number(lending.quietRefused), 0),
      atLeast(
        "flood served with lending to fixed shares",
        lending.floodPerSecond / fixed.floodPerSecond,
        lentLimit,
      ),
    ],
  };
}
