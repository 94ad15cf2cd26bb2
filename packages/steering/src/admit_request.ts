/**
 * Decides at arrival whether a request is taken or refused. It answers
 * overload: work that ends after the objective takes the room of work that
 * would have met it, and a line longer than what can be served in time makes
 * every answer late. What can't be served in time is refused at once, with the
 * time at which room is expected.
 */

/** A request and what it would find. */
export interface AdmissionInput {
  /** Expected time until a slot is free, in the entry's line and at the target. */
  waitMillis: number;
  /** Expected time from then to the answer. */
  serviceMillis: number;
  /** Time left until the answer is useless. */
  remainingMillis: number;
  /** Time left until the objective is missed; negative where it is missed. */
  objectiveRemainingMillis: number;
  /** Requests at the service's targets, in parts of their slots. */
  load: number;
  /** Uniform in [0, 1): spreads those who come back. */
  random: number;
}

/** What becomes of the request. */
export type Admission =
  | { kind: "accept" }
  | {
    kind: "refuse";
    retryAfterMillis: number;
    /** When the answer was expected, and by when it would have been useful. */
    expectedMillis: number;
    boundMillis: number;
  };

/** How far the expected finish may exceed the objective: estimates are that rough. */
const objectiveTolerance = 1.25;
/** Part of the time left that may be used, for the same reason. */
const usableShareOfDeadline = 0.85;
/**
 * Part of the expected time that must be left even where a slot is free: work
 * for a known object takes about that much of what is expected without one.
 */
const hopefulShareOfExpected = 0.25;
/** Load below which a free slot is for whoever comes, also where the answer will be late. */
const busyLoad = 0.45;
/** Part of the time left that a caller may spend before it comes back. */
const usableShareForReturn = 1 / 3;
const leastRetryAfterMillis = 100;
/** Longest time after which a refused caller is asked back. */
const mostRetryAfterMillis = 3000;

/** Decides about one request. */
export function admitRequest(question: AdmissionInput): Admission {
  const {
    remainingMillis: leftMillis,
    objectiveRemainingMillis: objectiveLeftMillis,
  } = question;
  const expectedMillis = question.waitMillis + question.serviceMillis;
  const isHopeful = leftMillis >= expectedMillis * hopefulShareOfExpected;
  if (question.waitMillis === 0 && question.load < busyLoad && isHopeful) {
    return { kind: "accept" };
  }
  const usableMillis = leftMillis * usableShareOfDeadline;
  const boundMillis = objectiveLeftMillis > 0
    ? Math.min(usableMillis, objectiveLeftMillis * objectiveTolerance)
    : usableMillis;
  if (expectedMillis <= boundMillis) return { kind: "accept" };
  // Before there is room, what lies beyond the bound has to be worked off, and
  // under lasting load at least one more request ends first.
  const excessMillis = expectedMillis - boundMillis;
  const roomMillis = Math.max(excessMillis, question.serviceMillis);
  const retryAfterMillis = Math.min(
    roomMillis * (1 + question.random),
    leftMillis * usableShareForReturn,
    mostRetryAfterMillis,
  );
  return {
    kind: "refuse",
    retryAfterMillis: Math.max(leastRetryAfterMillis, retryAfterMillis),
    expectedMillis,
    boundMillis,
  };
}

/** Expected time in a line that `ahead` others wait in. Unit: milliseconds. */
export function expectedWaitMillis(
  ahead: number,
  servedPerSecond: number,
): number {
  return (ahead + 1) * 1000 / Math.max(leastFlowPerSecond, servedPerSecond);
}

/** A line that moves more slowly than this is not worth an estimate. */
const leastFlowPerSecond = 0.5;
