/**
 * Chooses the target of one request by the time at which it is expected to
 * finish there: the way, the wait for a slot, the work. Work is shorter on a
 * target that served the object lately, so objects are spread by rendezvous
 * hashing and leave their first target only where the expected finish says so
 * (bounded load). This answers uneven demand: requests for one object stay
 * together while there is room, and overflow to the next target when not.
 */
import type { ObjectHomes } from "./object_homes.ts";
import type { WorkTimeEstimate } from "./work_time_estimate.ts";
import type { TargetState } from "./target_state.ts";

/** What the choice depends on besides the targets. */
export interface PlacementInput {
  /** Key of the object; undefined without affinity. */
  object: string | undefined;
  nowMillis: number;
  estimate: WorkTimeEstimate;
  /** Requests at the service's targets, in parts of their slots. */
  load: number;
  /** Time left to meet the objective; negative where it is missed. */
  objectiveRemainingMillis: number;
  /** Round trip to the target's data centre. Unit: milliseconds. */
  roundTripMillis: (target: TargetState) => number;
  /** Where the object's requests go while there is room. */
  homes: ObjectHomes;
  /** False where the request may not run there at all. */
  isAllowed: (target: TargetState) => boolean;
  /** Rate that this entry may send to a cold target; 0 for none. */
  warmupRatePerSecond: (target: TargetState) => number;
  /** Targets that were tried already. */
  exclude: ReadonlySet<string>;
}

/** Where a request goes. */
export type Placement =
  | {
    kind: "send";
    target: TargetState;
    finishMillis: number;
    /** Part of the finish that is spent waiting for a slot. */
    waitMillis: number;
    warm: boolean;
  }
  /** All usable targets are full. */
  | { kind: "full"; slots: number; finishMillis: number }
  /** No target may take the request now. */
  | { kind: "none"; usableAtMillis: number };

/** Requests that may wait at a target, in parts of its slots: it is never idle between two. */
const waitingPerSlot = 1;
/** Chance that an object's homes know it from other entries' requests. */
const homeWarmth = { first: 0.7, second: 0.2 } as const;
/**
 * What a request away from its object's first home costs others, in parts of
 * the work for an unknown object: it pushes another object out there.
 */
const strayCost = { second: 0.5, other: 2.5 } as const;
/** What work costs the requests behind it, in parts of the work itself. */
const pressureWeight = 0.5;
/**
 * Load above which requests keep to their object's homes: when all targets are
 * full, each stray makes more work than it finds room, and targets forget
 * their objects all round.
 */
const keepHomeLoad = 0.8;
/** What a millisecond past the objective costs: an answer loses most of its value there. */
const lateWeight = 4;
/** Cost of a certain failure, in parts of the mean work time. */
const failureWeight = 6;
/** Failure rate below which a target counts as sound: single errors happen everywhere. */
const soundFailureRate = 0.08;
/** Usual work on a cold target, relative to a warm one. */
const coldWorkFactor = 2;

/** False where the object has no home that takes requests now. */
function hasUsableHome({ homes, nowMillis, exclude }: PlacementInput) {
  return [homes.first, homes.second].some((home) =>
    home !== undefined && !home.isPaused(nowMillis) &&
    !home.isCold(nowMillis) && !exclude.has(home.record.id)
  );
}

function homeWarmthOf(
  target: TargetState,
  { homes }: PlacementInput,
): number {
  if (target === homes.first) return homeWarmth.first;
  return target === homes.second ? homeWarmth.second : 0;
}

function strayCostOf(
  target: TargetState,
  { object, homes }: PlacementInput,
): number {
  if (object === undefined || target === homes.first) return 0;
  return target === homes.second ? strayCost.second : strayCost.other;
}

/** Chooses among all targets of one service. */
export function placeRequest(
  targets: readonly TargetState[],
  question: PlacementInput,
): Placement {
  const { nowMillis, estimate, homes } = question;
  const keepsHome = question.load > keepHomeLoad && hasUsableHome(question);
  const meanMillis = estimate.meanMillis();
  let best: TargetState | undefined;
  let bestCost = Infinity;
  let bestFinish = Infinity;
  let bestWait = 0;
  let bestWarm = false;
  let fullFinish = Infinity;
  let slots = 0;
  let usableAtMillis = Infinity;
  for (const target of targets) {
    if (target.isLeaving() || !question.isAllowed(target)) continue;
    if (question.exclude.has(target.record.id)) continue;
    if (target.isPaused(nowMillis)) {
      usableAtMillis = Math.min(usableAtMillis, target.pausedUntilMillis);
      continue;
    }
    const cold = target.isCold(nowMillis);
    if (cold) {
      const perSecond = question.warmupRatePerSecond(target);
      if (perSecond <= 0) continue;
      if (!target.warmupLimiter.allows(nowMillis, { perSecond })) {
        usableAtMillis = Math.min(usableAtMillis, nowMillis + 1000 / perSecond);
        continue;
      }
    }
    const isHome = target === homes.first || target === homes.second;
    if (keepsHome && !isHome) continue;
    const inFlight = target.inFlight(nowMillis);
    slots += target.record.slots;
    const ahead = Math.max(0, inFlight - target.record.slots + 1);
    const warm = target.isWarmFor(question.object, nowMillis);
    const warmth = warm ? 1 : homeWarmthOf(target, question);
    const slowness = target.slowdownFactor * (cold ? coldWorkFactor : 1);
    const waitMillis = ahead * meanMillis * slowness / target.record.slots;
    const workMillis = slowness * (warmth * estimate.workMillis(true) +
      (1 - warmth) * estimate.workMillis(false));
    const finishMillis = question.roundTripMillis(target) + waitMillis +
      workMillis;
    if (ahead > waitingPerSlot * target.record.slots) {
      fullFinish = Math.min(fullFinish, finishMillis);
      continue;
    }
    let cost = finishMillis + workMillis * pressureWeight;
    if (question.objectiveRemainingMillis > 0) {
      const lateMillis = finishMillis - question.objectiveRemainingMillis;
      cost += Math.max(0, lateMillis) * lateWeight;
    }
    cost += strayCostOf(target, question) * estimate.workMillis(false);
    if (target.failureRate > soundFailureRate) {
      cost += target.failureRate * failureWeight * meanMillis;
    }
    if (cost < bestCost) {
      best = target;
      bestCost = cost;
      bestFinish = finishMillis;
      bestWait = waitMillis;
      bestWarm = warm;
    }
  }
  if (best !== undefined) {
    return {
      kind: "send",
      target: best,
      finishMillis: bestFinish,
      waitMillis: bestWait,
      warm: bestWarm,
    };
  }
  if (fullFinish < Infinity) {
    return { kind: "full", slots, finishMillis: fullFinish };
  }
  return { kind: "none", usableAtMillis };
}
