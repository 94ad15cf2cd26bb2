/**
 * Replays load patterns on a simulated clock, through the product's decisions
 * and the alternatives that they are compared with.
 */
import { LOAD_PATTERNS } from "../replay/load_pattern.ts";
import { playPattern } from "../replay/play_pattern.ts";
import { largestShift, type ReplayResult } from "../replay/replay_result.ts";
import { REPLAY_ARMS } from "../replay/replay_arm.ts";
import {
  atMost,
  type BenchArm,
  type BenchOptions,
  type BenchReport,
  quantile,
  round,
} from "./bench_report.ts";

/** The users' limit on the shift between two windows of 2 s. */
const MAX_SHIFT = 0.15;
/**
 * Number of replays with different seeds that are summed to measure the shift: a
 * window of a single replay has only some 180 requests of a region.
 */
const SHIFT_SEEDS = 8;

function toArm(name: string, result: ReplayResult): BenchArm {
  const sum = (read: (region: ReplayResult["regions"][number]) => number) =>
    result.regions.reduce((total, region) => total + read(region), 0);
  const asked = sum((region) => region.calls);
  const latencies = result.regions.flatMap((r) => r.latenciesMillis);
  const worst = Math.min(...result.regions.map((r) => r.inTime / r.calls));
  return {
    name,
    asked,
    inTime: round(sum((r) => r.inTime) / asked),
    worstRegion: round(worst),
    late: round(sum((r) => r.late) / asked),
    refused: round(sum((r) => r.refused) / asked),
    refusedAgain: round(sum((r) => r.refusedAgain) / asked),
    failed: round(sum((r) => r.failed) / asked),
    p50Millis: Math.round(quantile(latencies, 0.5)),
    p99Millis: Math.round(quantile(latencies, 0.99)),
    warm: round(result.warmShare),
    shift: round(largestShift([result])),
  };
}

/** Runs every arm on every pattern. */
export function replayBench(options: BenchOptions): Promise<BenchReport> {
  const arms: BenchArm[] = [];
  const shifts: number[] = [];
  for (const fullPattern of LOAD_PATTERNS) {
    const pattern = {
      ...fullPattern,
      durationMillis: fullPattern.durationMillis * options.scale,
    };
    for (const arm of REPLAY_ARMS) {
      const result = playPattern(pattern, { arm, seed: options.seed });
      arms.push(toArm(`${pattern.name}: ${arm.name}`, result));
    }
    // The limit holds for the product, which is the first arm, without events.
    if (pattern.events.length > 0) continue;
    shifts.push(largestShift(
      Array.from(
        { length: SHIFT_SEEDS },
        (_, i) =>
          playPattern(pattern, { arm: REPLAY_ARMS[0], seed: options.seed + i }),
      ),
    ));
  }
  return Promise.resolve({
    bench: "replay",
    seed: options.seed,
    arms,
    bounds: [
      atMost("shift of undisturbed regions", Math.max(...shifts), MAX_SHIFT),
    ],
  });
}
