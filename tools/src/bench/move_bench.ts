/**
 * Measures a planned move to targets with cold caches, under a cap: all at
 * once, in fixed steps, and in steps that wait until the receiver is warm.
 */
import { applyMoves } from "@bamboolane/route/choose_data_centre";
import { MoveShareLimiter } from "@bamboolane/entry/move_share_limiter";
import type { Move } from "@bamboolane/types/fleet";
import {
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
  createRegionFleet,
  createRegions,
  type RegionOptions,
  startRegionTargets,
  toPoolView,
} from "./region_fleet.ts";

/** Added to each of a target's first `COLD_REQUESTS` requests. */
const COLD_MILLIS = 250;
const COLD_REQUESTS = 25;
const REGION_OPTIONS: Omit<RegionOptions, "seed"> = {
  firstPort: 28_510,
  targetsPerRegion: 4,
  slots: 3,
  behaviour: {
    serviceMillis: [{ prefix: "/", millis: 40 }],
    coldMillis: COLD_MILLIS,
    coldRequests: COLD_REQUESTS,
  },
  cap: 100,
};
/** Requests of the source region (kind `moved`); the move redirects a share of them. */
const SOURCE_PER_SECOND = 100;
/** Requests of the receiving region itself (kind `resident`). */
const RECEIVER_PER_SECOND = 60;
const START_MILLIS = 5000;
const END_MILLIS = 16_000;
/** Minimum time between two steps. */
const STEP_MILLIS = 800;
const CAP_SHARE = 0.6;
const STEPS = [0.1, 0.2, 0.35, 0.6];
/** The receiver counts as warm if its typical duration is at most this multiple of the source's. */
const MAX_WARM_RATIO = 2;
/** Entries that forward the requests; each limits the moved share by itself. */
const INSTANCE_COUNT = 3;
const BLOCK_COUNT = 400;

interface MoveArm {
  name: string;
  steps: number[];
  waitsUntilWarm: boolean;
}

const ARMS: MoveArm[] = [
  { name: "one jump", steps: [CAP_SHARE], waitsUntilWarm: false },
  { name: "fixed steps", steps: STEPS, waitsUntilWarm: false },
  { name: "steps that wait for warmth", steps: STEPS, waitsUntilWarm: true },
];

function createMove(arm: MoveArm): Move {
  return {
    id: "mv",
    service: "s1",
    from: "east",
    to: "west",
    capShare: CAP_SHARE,
    steps: arm.steps,
    step: -1,
    state: "running",
    owner: "bench",
    reason: "a planned move",
  };
}

async function runArm(arm: MoveArm, targets: BenchTargets, seed: number) {
  const regions = createRegions(targets, { ...REGION_OPTIONS, seed });
  const [east, west] = regions;
  const base = createRegionFleet();
  let move = createMove(arm);
  let steppedAtMillis = performance.now();
  const limiters = Array.from(
    { length: INSTANCE_COUNT },
    () => new MoveShareLimiter(),
  );
  let worstShare = 0;
  const total = { moved: 0, all: 0 };
  const isWarm = () =>
    toPoolView(west).typicalMillis <=
      MAX_WARM_RATIO * toPoolView(east).typicalMillis;
  const stepper = setInterval(() => {
    const nowMillis = performance.now();
    if (
      nowMillis - startedAtMillis < START_MILLIS ||
      move.step + 1 >= move.steps.length
    ) return;
    if (move.step >= 0 && nowMillis - steppedAtMillis < STEP_MILLIS) return;
    if (arm.waitsUntilWarm && move.step >= 0 && !isWarm()) return;
    move = { ...move, step: move.step + 1 };
    steppedAtMillis = nowMillis;
  }, 50);
  const startedAtMillis = performance.now();
  const arrivals = makeArrivals([
    { kind: "moved", perSecond: SOURCE_PER_SECOND, toMillis: END_MILLIS },
    { kind: "resident", perSecond: RECEIVER_PER_SECOND, toMillis: END_MILLIS },
  ], seed);
  const completed = await playArrivals(
    arrivals,
    ({ kind, randomValue }) => {
      const work = makeWork("lookup", { lane: "interactive" });
      if (kind === "resident") return runInPool(west.pool, work);
      const blockKey = String(Math.floor(randomValue * BLOCK_COUNT));
      const instance = Math.floor(randomValue * 1000) % INSTANCE_COUNT;
      const isSelected = applyMoves({ ...base, moves: [move] }, {
        service: "s1",
        home: "east",
        blockKey,
      }).moveId !== undefined;
      const isMoved = limiters[instance].admit(move.id, move.capShare, {
        selected: isSelected,
      });
      worstShare = Math.max(worstShare, limiters[instance].movedShare(move.id));
      total.all++;
      if (isMoved) total.moved++;
      return runInPool((isMoved ? west : east).pool, work);
    },
  );
  clearInterval(stepper);
  for (const region of regions) region.pool.task.close();
  return summarize(arm, completed, {
    worstShare,
    totalShare: total.moved / total.all,
    step: move.step,
  });
}

function summarize(
  arm: MoveArm,
  completed: CompletedArrival[],
  shares: { worstShare: number; totalShare: number; step: number },
) {
  const receiverMillis = (from: number, to: number) =>
    completed.filter((e) =>
      e.ok && e.target.startsWith("west") && e.arrival.atMillis >= from &&
      e.arrival.atMillis < to
    ).map((e) => e.durationMillis);
  const before = quantile(
    receiverMillis(START_MILLIS - 1500, START_MILLIS),
    0.99,
  );
  const during = quantile(receiverMillis(START_MILLIS, END_MILLIS), 0.99);
  const result: BenchArm & {
    worstShare: number;
    totalShare: number;
    p99Millis: number;
  } = {
    name: arm.name,
    receiverP99BeforeMillis: round(before),
    p50Millis: round(quantile(receiverMillis(START_MILLIS, END_MILLIS), 0.5)),
    p99Millis: round(during),
    allP99Millis: round(
      quantile(durations(completed, (a) => a.atMillis >= START_MILLIS), 0.99),
    ),
    worstShare: round(shares.worstShare),
    totalShare: round(shares.totalShare),
    lastStep: `${shares.step + 1}/${arm.steps.length}`,
  };
  return result;
}

/** Runs all arms with the same arrivals, each on cold targets. */
export async function moveBench(options: BenchOptions): Promise<BenchReport> {
  const results = [];
  for (const arm of ARMS) {
    const targets = await startRegionTargets({
      ...REGION_OPTIONS,
      seed: options.seed,
    });
    results.push(await runArm(arm, targets, options.seed));
    await targets.stop();
  }
  const [jump, , waiting] = results;
  return {
    bench: "move",
    seed: options.seed,
    arms: results,
    bounds: [
      ...results.map((r) =>
        atMost(
          `${r.name}: greatest share at an instance`,
          r.worstShare,
          CAP_SHARE,
        )
      ),
      ...results.map((r) =>
        atMost(`${r.name}: share in total`, r.totalShare, CAP_SHARE)
      ),
      atMost(
        "receiver's p99: waiting steps to one jump",
        waiting.p99Millis / jump.p99Millis,
        1,
      ),
    ],
  };
}
