/**
 * Picks a target from those of one pool. All strategies are kept, so that the
 * `tail` bench can compare them.
 */

/** State of a target as seen by a strategy. */
export interface TargetView {
  id: string;
  slots: number;
  inFlight: number;
  /** Slots that the request may take now. */
  free: number;
  /** Peak-sensitive average latency; 0 before the first sample. Unit: milliseconds. */
  latencyMillis: number;
  /** Temporarily ejected after consecutive failures. */
  ejected: boolean;
}

/** Strategy for picking a target. */
export type TargetStrategy =
  /** `next` counts the requests; `chooseTarget` increments it. */
  | { kind: "round-robin"; next: number }
  | { kind: "random" }
  | { kind: "least-outstanding" }
  | { kind: "two-choices" }
  | { kind: "expected-finish" };

/** A chosen target, the advice to wait for a faster one, or no free target. */
export type TargetChoice =
  | { kind: "target"; id: string; reason: string }
  | { kind: "wait"; reason: string }
  | { kind: "none"; reason: string };

/** Uniform random numbers in [0, 1). */
export type Random = () => number;

/** A target slower than the median by more than this factor counts as slow. */
const SLOW_TARGET_RATIO = 3;

/**
 * Cost of one more request: latency times requests per slot. The added
 * millisecond lets targets without samples be compared by load.
 */
function loadCost(target: TargetView): number {
  return (target.latencyMillis + 1) * (target.inFlight + 1) / target.slots;
}

function pick(target: TargetView | undefined, reason: string): TargetChoice {
  if (target === undefined) return { kind: "none", reason: "no free slot" };
  return { kind: "target", id: target.id, reason };
}

function chooseTwo(free: TargetView[], random: Random): TargetChoice {
  const first = free[Math.floor(random() * free.length)];
  const second = free[Math.floor(random() * free.length)];
  const better = loadCost(first) <= loadCost(second) ? first : second;
  return pick(better, "two-choices");
}

function median(values: number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/**
 * Picks the target that is expected to answer first. If only targets much
 * slower than the median are free, waiting for a faster one is better. If
 * there is no faster one, as when all are ejected, picks the free target with
 * the lowest cost.
 */
function chooseExpectedFinish(
  all: TargetView[],
  free: TargetView[],
  random: Random,
): TargetChoice {
  const medianMillis = median(
    all.filter((t) => !t.ejected).map((t) => t.latencyMillis),
  );
  const healthy = free.filter((t) => !t.ejected);
  const fast = healthy.filter((t) =>
    t.latencyMillis <= medianMillis * SLOW_TARGET_RATIO
  );
  if (fast.length > 0) return chooseLowestCost(fast, random);
  const hasFastTarget = all.some((t) =>
    !t.ejected && t.slots > 0 &&
    t.latencyMillis <= medianMillis * SLOW_TARGET_RATIO
  );
  if (hasFastTarget) {
    return { kind: "wait", reason: "only slow targets are free" };
  }
  return pick(
    [...free].sort((a, b) => loadCost(a) - loadCost(b))[0],
    "best of slow targets",
  );
}

/** Picks the target with the lowest cost; random jitter of one percent breaks ties. */
function chooseLowestCost(targets: TargetView[], random: Random): TargetChoice {
  let best = targets[0];
  let bestCost = Infinity;
  for (const target of targets) {
    const cost = loadCost(target) * (1 + random() * 0.01);
    if (cost < bestCost) {
      best = target;
      bestCost = cost;
    }
  }
  return pick(best, "expected-finish");
}

/** Picks a target with a free slot according to the strategy. */
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
