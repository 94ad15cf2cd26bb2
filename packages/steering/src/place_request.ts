/**
 * Chooses the target of a request by its expected completion time: round trip,
 * wait for a slot and work time. Work is shorter on a target that recently
 * served the same object, so objects are assigned to home targets by rendezvous
 * hashing, and a request leaves its first home only if another target is
 * expected to be better despite the cost of leaving. Under uneven demand the
 * requests for one object thus stay together while there is capacity, and
 * overflow to other targets when there is none.
 */
import type { ObjectHomes } from "./object_homes.ts";
import type { RateShare } from "./rate_limiter.ts";
import type { WorkTimeEstimate } from "./work_time_estimate.ts";
import type { TargetState } from "./target_state.ts";

/** Inputs of {@link placeRequest} besides the targets. */
export interface PlacementInput {
  /** Key of the requested object; undefined for a route without affinity. */
  object: string | undefined;
  nowMillis: number;
  estimate: WorkTimeEstimate;
  /** Requests at the service's targets divided by the targets' slots. */
  load: number;
  /** Time until the latency objective is missed; negative once it is missed. */
  objectiveRemainingMillis: number;
  /** Round trip to the target's data centre. Unit: milliseconds. */
  roundTripMillis: (target: TargetState) => number;
  /** Targets that the object's requests go to while these have capacity. */
  homes: ObjectHomes;
  /** False if the request must not run on the target at all. */
  isAllowed: (target: TargetState) => boolean;
  /** This entry's part of the rate of a cold target. */
  warmupShare: (target: TargetState) => RateShare;
  /** This entry's part of a target's request limit. */
  limitShare: (target: TargetState) => RateShare;
  /** Ids of the targets that were tried already. */
  exclude: ReadonlySet<string>;
}

/** Decision where a request goes. */
export type Placement =
  | {
    kind: "send";
    target: TargetState;
    /** Expected time to the answer. */
    finishMillis: number;
    /** Part of `finishMillis` spent waiting for a slot. */
    waitMillis: number;
    /** This entry recently sent the target a request for the object. */
    warm: boolean;
  }
  /**
   * All targets considered are full: the sum of their slots, the shortest
   * expected time to an answer, and those that take no more requests until others end.
   */
  | {
    kind: "full";
    slots: number;
    finishMillis: number;
    fullTargets: readonly TargetState[];
  }
  /** No target is usable before `usableAtMillis`, which is Infinity if none is expected to be. */
  | {
    kind: "none";
    usableAtMillis: number;
    /** True if the target that is usable first asked for a pause until then. */
    isPauseRequested: boolean;
  };

/** Requests that may wait at a target for each slot, so that no slot idles between two requests. */
const MAX_WAITING_PER_SLOT = 1;
/** Probability that an object's homes are warm for it through requests of other entries. */
const HOME_WARM_PROBABILITY = { first: 0.7, second: 0.2 } as const;
/**
 * Cost that a request away from its object's first home imposes on others, as
 * it evicts another object there. Unit: work time for a cold object.
 */
const AWAY_FROM_HOME_COST = { second: 0.5, other: 2.5 } as const;
/** Cost that work imposes on the requests queued behind it. Unit: the work's own time. */
const QUEUEING_COST_WEIGHT = 0.5;
/**
 * Load above which requests go to their object's homes only. When all targets
 * are full, a request to another target adds more work than the capacity it
 * finds, and all targets keep evicting each other's objects.
 */
const HOMES_ONLY_LOAD = 0.8;
/** Cost of each millisecond past the objective, where an answer loses most of its value. */
const LATENESS_WEIGHT = 4;
/** Cost of a failure, multiplied by the failure rate. Unit: mean work time. */
const FAILURE_WEIGHT = 6;
/** Failure rate up to which a target counts as healthy: single errors happen everywhere. */
const MAX_HEALTHY_FAILURE_RATE = 0.08;
/** Typical work time on a cold target relative to a warm one. */
const COLD_WORK_FACTOR = 2;

/**
 * Time from which this entry's rates for a target that is cold, or names a limit,
 * allow another request; Infinity if they never do.
 */
function rateReadyAtMillis(target: TargetState, input: PlacementInput): number {
  const { nowMillis } = input;
  const warmupReadyAtMillis = target.isCold(nowMillis)
    ? target.warmupLimiter.readyAtMillis(nowMillis, input.warmupShare(target))
    : nowMillis;
  const limitReadyAtMillis = target.isLimited
    ? target.limitLimiter.readyAtMillis(nowMillis, input.limitShare(target))
    : nowMillis;
  return Math.max(warmupReadyAtMillis, limitReadyAtMillis);
}

/**
 * True if at least one of the object's homes is neither paused nor cold, has not
 * been tried yet, and takes a request within its limit; it may be full.
 */
function hasUsableHome(input: PlacementInput): boolean {
  const { homes, nowMillis, exclude } = input;
  return [homes.first, homes.second].some((home) =>
    home !== undefined && !home.isPaused(nowMillis) &&
    !home.isCold(nowMillis) && !exclude.has(home.record.id) &&
    rateReadyAtMillis(home, input) <= nowMillis
  );
}

function homeWarmProbability(
  target: TargetState,
  { homes }: PlacementInput,
): number {
  if (target === homes.first) return HOME_WARM_PROBABILITY.first;
  return target === homes.second ? HOME_WARM_PROBABILITY.second : 0;
}

function awayFromHomeCost(
  target: TargetState,
  { object, homes }: PlacementInput,
): number {
  if (object === undefined || target === homes.first) return 0;
  return target === homes.second
    ? AWAY_FROM_HOME_COST.second
    : AWAY_FROM_HOME_COST.other;
}

/** Chooses the target with the lowest cost among all targets of a service. */
export function placeRequest(
  targets: readonly TargetState[],
  input: PlacementInput,
): Placement {
  const { nowMillis, estimate, homes } = input;
  const homesOnly = input.load > HOMES_ONLY_LOAD && hasUsableHome(input);
  const meanMillis = estimate.meanMillis();
  let best: TargetState | undefined;
  let bestCost = Infinity;
  let bestFinishMillis = Infinity;
  let bestWaitMillis = 0;
  let bestWarm = false;
  let fullFinishMillis = Infinity;
  const fullTargets: TargetState[] = [];
  let slots = 0;
  let usableAtMillis = Infinity;
  let isPauseRequested = false;
  for (const target of targets) {
    if (target.isLeaving() || !input.isAllowed(target)) continue;
    if (input.exclude.has(target.record.id)) continue;
    const readyAtMillis = target.isPaused(nowMillis)
      ? target.pauseEndMillis(nowMillis)
      : rateReadyAtMillis(target, input);
    if (readyAtMillis > nowMillis) {
      if (readyAtMillis < usableAtMillis) {
        usableAtMillis = readyAtMillis;
        isPauseRequested = target.isPauseRequested(nowMillis);
      }
      continue;
    }
    const cold = target.isCold(nowMillis);
    const isHome = target === homes.first || target === homes.second;
    // A limit binds before the slots do, so a miss in the cache costs no capacity.
    if (homesOnly && !isHome && !target.isLimited) continue;
    const inFlight = target.inFlight(nowMillis);
    slots += target.record.slots;
    // Requests that have to end before this one gets a slot.
    const ahead = Math.max(0, inFlight - target.record.slots + 1);
    const warm = target.isWarmFor(input.object, nowMillis);
    const warmProbability = warm ? 1 : homeWarmProbability(target, input);
    const slowdownFactor = target.slowdownFactor *
      (cold ? COLD_WORK_FACTOR : 1);
    const waitMillis = ahead * meanMillis * slowdownFactor /
      target.record.slots;
    const workMillis = slowdownFactor *
      (warmProbability * estimate.workMillis(true) +
        (1 - warmProbability) * estimate.workMillis(false));
    const finishMillis = input.roundTripMillis(target) + waitMillis +
      workMillis;
    if (
      ahead > MAX_WAITING_PER_SLOT * target.record.slots ||
      !target.returnRamp.allows(target.ownInFlight)
    ) {
      fullFinishMillis = Math.min(fullFinishMillis, finishMillis);
      fullTargets.push(target);
      continue;
    }
    let cost = finishMillis + workMillis * QUEUEING_COST_WEIGHT;
    if (input.objectiveRemainingMillis > 0) {
      const lateMillis = finishMillis - input.objectiveRemainingMillis;
      cost += Math.max(0, lateMillis) * LATENESS_WEIGHT;
    }
    cost += awayFromHomeCost(target, input) * estimate.workMillis(false);
    if (target.failureRate > MAX_HEALTHY_FAILURE_RATE) {
      cost += target.failureRate * FAILURE_WEIGHT * meanMillis;
    }
    if (cost < bestCost) {
      best = target;
      bestCost = cost;
      bestFinishMillis = finishMillis;
      bestWaitMillis = waitMillis;
      bestWarm = warm;
    }
  }
  if (best !== undefined) {
    return {
      kind: "send",
      target: best,
      finishMillis: bestFinishMillis,
      waitMillis: bestWaitMillis,
      warm: bestWarm,
    };
  }
  if (fullFinishMillis < Infinity) {
    return {
      kind: "full",
      slots,
      finishMillis: fullFinishMillis,
      fullTargets,
    };
  }
  return { kind: "none", usableAtMillis, isPauseRequested };
}
