/**
 * Steps that replay load patterns on a fake clock.
 */
import assert from "node:assert/strict";
import { Before, Then, When } from "@cucumber/cucumber";
import { LOAD_PATTERNS } from "@bamboolane/tools/replay/load_pattern";
import { playPattern } from "@bamboolane/tools/replay/play_pattern";
import {
  largestShift,
  type ReplayResult,
} from "@bamboolane/tools/replay/replay_result";
import { REPLAY_ARMS } from "@bamboolane/tools/replay/replay_arm";

const results = new Map<string, ReplayResult[]>();

Before(() => results.clear());

function play(pattern: string, arm: string, seed: number): ReplayResult {
  const load = LOAD_PATTERNS.find(({ name }) => name === pattern);
  const replayArm = REPLAY_ARMS.find(({ name }) => name === arm);
  assert.ok(
    load !== undefined && replayArm !== undefined,
    `${pattern}, ${arm}`,
  );
  return playPattern(load, { arm: replayArm, seed });
}

function playSeeds(pattern: string, arm: string, seeds: number): void {
  results.set(
    arm,
    Array.from({ length: seeds }, (_, i) => play(pattern, arm, i + 1)),
  );
}

Then(
  "pattern {string} played twice with seed {int} gives the same figures",
  (pattern: string, seed: number) => {
    const [a, b] = [1, 2].map(() => play(pattern, "product", seed));
    assert.deepEqual(a, b);
    assert.notDeepEqual(a.regions, play(pattern, "product", seed + 1).regions);
  },
);

When(
  "pattern {string} is played by {string} and by {string} with {int} seeds",
  (pattern: string, first: string, second: string, seeds: number) => {
    for (const arm of [first, second]) playSeeds(pattern, arm, seeds);
  },
);

When(
  "pattern {string} is played by {string} with {int} seeds",
  (pattern: string, arm: string, seeds: number) =>
    playSeeds(pattern, arm, seeds),
);

/** Shares of requests that were served in time, by region. */
function inTimeShares(arm: string): number[] {
  const played = results.get(arm) as ReplayResult[];
  return played[0].regions.map((_, i) => {
    const sum = (read: (result: ReplayResult) => number) =>
      played.reduce((total, result) => total + read(result), 0);
    return sum((r) => r.regions[i].inTime) / sum((r) => r.regions[i].calls);
  });
}

function otherArm(arm: string): string {
  return [...results.keys()].find((name) => name !== arm) as string;
}

const mean = (values: readonly number[]) =>
  values.reduce((a, b) => a + b, 0) / values.length;

Then(
  "{string} serves at least {float} times as many in time",
  (arm: string, factor: number) => {
    const [a, b] = [mean(inTimeShares(arm)), mean(inTimeShares(otherArm(arm)))];
    assert.ok(a >= factor * b, `${a} against ${b}`);
  },
);

Then(
  "in the worst-served region {string} serves at least {float} times as many in time",
  (arm: string, factor: number) => {
    const a = Math.min(...inTimeShares(arm));
    const b = Math.min(...inTimeShares(otherArm(arm)));
    assert.ok(a >= factor * b, `${a} against ${b}`);
  },
);

Then(
  "no region moves more than {float} of its runs from one window to the next",
  (max: number) => {
    const shift = largestShift([...results.values()][0]);
    assert.ok(shift <= max, `${shift}`);
  },
);

Then(
  "each wastes some of its slot time, and {string} more of it",
  (arm: string) => {
    const wastedBy = (name: string) =>
      mean((results.get(name) as ReplayResult[]).map((r) => r.wastedShare));
    const [more, less] = [wastedBy(arm), wastedBy(otherArm(arm))];
    assert.ok(0 < less && less < more && more < 1, `${more} against ${less}`);
  },
);
