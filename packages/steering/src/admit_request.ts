/**
 * Deadline-aware load shedding: decides at arrival whether a request is
 * accepted or refused. Under overload, work that finishes after the latency
 * objective takes capacity from work that would have met it, and a queue longer
 * than what can be served in time makes every answer late. A request that
 * can't be served in time is refused at once, with a Retry-After derived from
 * the time at which capacity is expected.
 */

/** Inputs of {@link admitRequest}: the request's time limits and the current load. */
export interface AdmissionInput {
  /** Expected time until a slot is free, in the entry's queue and at the target. */
  waitMillis: number;
  /** Expected time from getting a slot to the answer. */
  serviceMillis: number;
  /** Time until the request's deadline. */
  remainingMillis: number;
  /** Time until the latency objective is missed; negative once it is missed. */
  objectiveRemainingMillis: number;
  /** Requests at the service's targets divided by the targets' slots. */
  load: number;
  /** True if no request was sent for some time, whose answer would correct the estimates. */
  isEstimateStale: boolean;
  /** Uniform in [0, 1): jitter that spreads the retries of refused callers. */
  random: number;
}

/** Decision about a request. */
export type Admission =
  | { kind: "accept" }
  | {
    kind: "refuse";
    /** Time that the caller is told to wait before its retry. */
    retryAfterMillis: number;
    /** Expected time to the answer. */
    expectedMillis: number;
    /** Longest expected time that would have been accepted. */
    boundMillis: number;
  };

/** Factor by which the expected time may exceed the objective, as estimates are rough. */
const OBJECTIVE_TOLERANCE_FACTOR = 1.25;
/** Share of the remaining time that the expected time may use, as estimates are rough. */
const USABLE_DEADLINE_SHARE = 0.85;
/**
 * Share of the expected time that must remain until the deadline even if a slot
 * is free. Work for an object that the target served recently takes about this
 * share of the time expected for other objects.
 */
const MIN_EXPECTED_TIME_SHARE = 0.25;
/**
 * Load below which a free slot is given to a request even if its answer will be
 * later than the objective, as long as it may meet the deadline.
 */
const LOW_LOAD_LIMIT = 0.45;
/** Share of the remaining time that a refused caller may wait before its retry. */
const MAX_RETRY_AFTER_SHARE = 1 / 3;
const MIN_RETRY_AFTER_MILLIS = 100;
const MAX_RETRY_AFTER_MILLIS = 3000;

/**
 * Accepts a request that is expected to finish in time, and at low load also one
 * that gets a slot at once and may meet its deadline. Refuses any other, unless it gets
 * a slot at once and the estimates are stale: they would never be corrected.
 */
export function admitRequest(input: AdmissionInput): Admission {
  const {
    remainingMillis,
    objectiveRemainingMillis,
  } = input;
  const expectedMillis = input.waitMillis + input.serviceMillis;
  const mayMeetDeadline =
    remainingMillis >= expectedMillis * MIN_EXPECTED_TIME_SHARE;
  const isWorthwhile = input.isEstimateStale ||
    input.load < LOW_LOAD_LIMIT && mayMeetDeadline;
  if (input.waitMillis === 0 && isWorthwhile) return { kind: "accept" };
  const usableMillis = remainingMillis * USABLE_DEADLINE_SHARE;
  const boundMillis = objectiveRemainingMillis > 0
    ? Math.min(
      usableMillis,
      objectiveRemainingMillis * OBJECTIVE_TOLERANCE_FACTOR,
    )
    : usableMillis;
  if (expectedMillis <= boundMillis) return { kind: "accept" };
  // Capacity is free once the excess over the bound is worked off. Under lasting
  // load at least one more request has to finish first.
  const excessMillis = expectedMillis - boundMillis;
  const capacityWaitMillis = Math.max(excessMillis, input.serviceMillis);
  const retryAfterMillis = Math.min(
    capacityWaitMillis * (1 + input.random),
    remainingMillis * MAX_RETRY_AFTER_SHARE,
    MAX_RETRY_AFTER_MILLIS,
  );
  return {
    kind: "refuse",
    retryAfterMillis: Math.max(MIN_RETRY_AFTER_MILLIS, retryAfterMillis),
    expectedMillis,
    boundMillis,
  };
}

/** Expected wait in a queue behind `ahead` other requests. Unit: milliseconds. */
export function expectedWaitMillis(
  ahead: number,
  servedPerSecond: number,
): number {
  return (ahead + 1) * 1000 /
    Math.max(MIN_THROUGHPUT_PER_SECOND, servedPerSecond);
}

/** Lower bound of the throughput: a measurement below it gives no useful estimate. */
const MIN_THROUGHPUT_PER_SECOND = 0.5;
