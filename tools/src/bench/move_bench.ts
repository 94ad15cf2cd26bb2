/**
 * A planned move onto targets with cold caches, under a cap: all at once, in
 * fixed steps, and in steps that wait until the receiver is warm.
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
  durations,
  type Ended,
  makeArrivals,
  makeWork,
  playArrivals,
  runInPool,
} from "./pool_harness.ts";
import {
  createRegions,
  regionFleet,
  type RegionOptions,
  startRegionTargets,
  viewOf,
} from "./region_fleet.ts";

const coldMillis = 250;
const coldRequests = 25;
const regionOptions: Omit<RegionOptions, "seed"> = {
  firstPort: 28_510,
  targetsPerRegion: 4,
  slots: 3,
  behaviour: {
    serviceMillis: [{ prefix: "/", millis: 40 }],
    coldMillis,
    coldRequests,
  },
  cap: 100,
};
const movedPerSecond = 100;
const residentPerSecond = 60;
const startMillis = 5000;
const endMillis = 16_000;
const stepMillis = 800;
const capShare = 0.6;
const steps = [0.1, 0.2, 0.35, 0.6];
const warmRatio = 2;
const instances = 3;
const blocks = 400;

interface MoveArm {
  name: string;
  steps: number[];
  waits: boolean;
}

const arms: MoveArm[] = [
  { name: "one jump", steps: [capShare], waits: false },
  { name: "fixed steps", steps, waits: false },
  { name: "steps that wait for warmth", steps, waits: true },
];

function moveOf(arm: MoveArm): Move {
  return {
    id: "mv",
    service: "s1",
    from: "east",
    to: "west",
    capShare,
    steps: arm.steps,
    step: -1,
    state: "running",
    owner: "bench",
    reason: "a planned move",
  };
}

async function runArm(arm: MoveArm, targets: BenchTargets, seed: number) {
  const regions = createRegions(targets, { ...regionOptions, seed });
  const [east, west] = regions;
  const base = regionFleet();
  let move = moveOf(arm);
  let steppedAtMillis = performance.now();
  const meters = Array.from(
    { length: instances },
    () => new MoveShareLimiter(),
  );
  let worstShare = 0;
  const total = { moved: 0, all: 0 };
  const isWarm = () =>
    viewOf(west).typicalMillis <= warmRatio * viewOf(east).typicalMillis;
  const stepper = setInterval(() => {
    const now = performance.now();
    if (now - begun < startMillis || move.step + 1 >= move.steps.length) return;
    if (move.step >= 0 && now - steppedAtMillis < stepMillis) return;
    if (arm.waits && move.step >= 0 && !isWarm()) return;
    move = { ...move, step: move.step + 1 };
    steppedAtMillis = now;
  }, 50);
  const begun = performance.now();
  const arrivals = makeArrivals([
    { kind: "moved", perSecond: movedPerSecond, toMillis: endMillis },
    { kind: "resident", perSecond: residentPerSecond, toMillis: endMillis },
  ], seed);
  const ended = await playArrivals(arrivals, ({ kind, dice }) => {
    const work = makeWork("lookup", { lane: "interactive" });
    if (kind === "resident") return runInPool(west.pool, work);
    const blockKey = String(Math.floor(dice * blocks));
    const instance = Math.floor(dice * 1000) % instances;
    const wantsMove = applyMoves({ ...base, moves: [move] }, {
      service: "s1",
      home: "east",
      blockKey,
    }).moveId !== undefined;
    const moves = meters[instance].admit(move.id, move.capShare, {
      selected: wantsMove,
    });
    worstShare = Math.max(worstShare, meters[instance].movedShare(move.id));
    total.all++;
    if (moves) total.moved++;
    return runInPool((moves ? west : east).pool, work);
  });
  clearInterval(stepper);
  for (const region of regions) region.pool.task.close();
  return summarize(arm, ended, {
    worstShare,
    totalShare: total.moved / total.all,
    step: move.step,
  });
}

function summarize(
  arm: MoveArm,
  ended: Ended[],
  shares: { worstShare: number; totalShare: number; step: number },
) {
  const receiving = (from: number, to: number) =>
    ended.filter((e) =>
      e.ok && e.target.startsWith("west") && e.arrival.atMillis >= from &&
      e.arrival.atMillis < to
    ).map((e) => e.durationMillis);
  const before = quantile(receiving(startMillis - 1500, startMillis), 0.99);
  const during = quantile(receiving(startMillis, endMillis), 0.99);
  const result: BenchArm & {
    worstShare: number;
    totalShare: number;
    p99Millis: number;
  } = {
    name: arm.name,
    receiverP99BeforeMillis: round(before),
    p50Millis: round(quantile(receiving(startMillis, endMillis), 0.5)),
    p99Millis: round(during),
    allP99Millis: round(
      quantile(durations(ended, (a) => a.atMillis >= startMillis), 0.99),
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
  for (const arm of arms) {
    const targets = await startRegionTargets({
      ...regionOptions,
      seed: options.seed,
    });
    results.push(await runArm(arm, targets, options.seed));
    await targets.stop();
  }
  const [jump, , ours] = results;
  return {
    bench: "move",
    seed: options.seed,
    arms: results,
    bounds: [
      ...results.map((r) =>
        atMost(
          `${r.name}: greatest share at an instance`,
          r.worstShare,
          capShare,
        )
      ),
      ...results.map((r) =>
        atMost(`${r.name}: share in total`, r.totalShare, capShare)
      ),
      atMost(
        "receiver's p99: waiting steps to one jump",
        ours.p99Millis / jump.p99Millis,
        1,
      ),
    ],
  };
}
