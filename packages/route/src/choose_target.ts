/**
 * Picks a target among those of one pool. The strategies stay runnable side
 * by side, for the `tail` bench.
 */

/** What a strategy may look at. */
export interface TargetView {
  id: string;
  slots: number;
  inFlight: number;
  /** Slots that the request may take now. */
  free: number;
  /** Peak-sensitive average latency; 0 before the first sample. Unit: milliseconds. */
  latencyMillis: number;
  /** Set aside by outlier detection. */
  ejected: boolean;
}

/** How to pick. */
export type TargetStrategy =
  | { kind: "round-robin"; next: number }
  | { kind: "random" }
  | { kind: "least-outstanding" }
  | { kind: "two-choices" }
  | { kind: "expected-finish" };

/** A choice, or the advice to wait for a faster target. */
export type TargetChoice =
  | { kind: "target"; id: string; reason: string }
  | { kind: "wait"; reason: string }
  | { kind: "none"; reason: string };

/** Uniform random numbers in [0, 1). */
export type Random = () => number;

/** A target this many times slower than the best is worth waiting past. */
const waitPastRatio = 3;

function peakEwmaCost(target: TargetView): number {
  return (target.latencyMillis + 1) * (target.inFlight + 1) / target.slots;
}

function pick(target: TargetView | undefined, reason: string): TargetChoice {
  if (target === undefined) return { kind: "none", reason: "no free slot" };
  return { kind: "target", id: target.id, reason };
}

function chooseTwo(free: TargetView[], random: Random): TargetChoice {
  const first = free[Math.floor(random() * free.length)];
  const second = free[Math.floor(random() * free.length)];
  const better = peakEwmaCost(first) <= peakEwmaCost(second) ? first : second;
  return pick(better, "two-choices");
}

function median(values: number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/**
 * Takes the target that is expected to answer first. Where only targets much
 * slower than the median are free, it is better to wait for a fast one.
 */
function chooseExpectedFinish(
  all: TargetView[],
  free: TargetView[],
  random: Random,
): TargetChoice {
  const usual = median(
    all.filter((t) => !t.ejected).map((t) => t.latencyMillis),
  );
  const fit = free.filter((t) => !t.ejected);
  const fast = fit.filter((t) => t.latencyMillis <= usual * waitPastRatio);
  if (fast.length > 0) return chooseAmongEqual(fast, random);
  const fastElsewhere = all.some((t) =>
    !t.ejected && t.slots > 0 && t.latencyMillis <= usual * waitPastRatio
  );
  if (fastElsewhere) {
    return { kind: "wait", reason: "only slow targets are free" };
  }
  return pick(
    [...free].sort((a, b) => peakEwmaCost(a) - peakEwmaCost(b))[0],
    "best of slow targets",
  );
}

/** Spreads over targets; those with more room come first, ties at random. */
function chooseAmongEqual(targets: TargetView[], random: Random): TargetChoice {
  let best = targets[0];
  let bestCost = Infinity;
  for (const target of targets) {
    const cost = peakEwmaCost(target) * (1 + random() * 0.01);
    if (cost < bestCost) {
      best = target;
      bestCost = cost;
    }
  }
  return pick(best, "expected-finish");
}

/** Picks a target with a free slot. */
export function chooseTarget(
  strategy: TargetStrategy,
  targets: TargetView[],
  random: Random,
): TargetChoice {
  const free = targets.filter((target) => target.free > 0);
  if (free.length === 0) return { kind: "none", reason: "no free slot" };
  switch (strategy.kind) {
    case "round-robin":
      return pick(free[strategy.next++ % free.length], "round-robin");
    case "random":
      return pick(free[Math.floor(random() * free.length)], "random");
    case "least-outstanding":
      return pick(
        [...free].sort((a, b) => a.inFlight - b.inFlight)[0],
        "least-outstanding",
      );
    case "two-choices":
      return chooseTwo(free, random);
    case "expected-finish":
      return chooseExpectedFinish(targets, free, random);
  }
}
