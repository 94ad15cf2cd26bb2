/**
 * Decides at arrival whether a request that finds all targets full may wait at
 * the entry. It answers overload: a line longer than what can be served in
 * time only makes every answer late. What can't be served in time is refused
 * at once, with the time at which room is expected.
 */

/** A request and the line that it would join. */
export interface AdmissionQuestion {
  /** Requests in line before it. */
  ahead: number;
  /** Requests of the service that leave this entry's line per second. */
  servedPerSecond: number;
  /** Expected time from leaving the line to the answer. Unit: milliseconds. */
  finishMillis: number;
  /** Time left until the answer is useless. Unit: milliseconds. */
  leftMillis: number;
  /** Time left until the objective is missed; negative where it is missed. */
  objectiveLeftMillis: number;
  /** Uniform in [0, 1): spreads those who come back. */
  random: number;
}

/** What becomes of the request. */
export type Admission =
  | { kind: "wait"; expectedWaitMillis: number }
  | { kind: "refuse"; retryAfterMillis: number; expectedWaitMillis: number };

/** How far the expected finish may exceed the objective: estimates are that rough. */
const objectiveTolerance = 1.25;
/** Part of the time left that a wait may use, whatever the objective. */
const usableShareOfDeadline = 0.85;
const leastRetryAfterMillis = 100;
/** Longest time after which a refused caller is asked back. */
const mostRetryAfterMillis = 3000;
/** Width of the spread, in parts of the expected wait. */
const retrySpread = 1;

/** Decides about one request. */
export function admitRequest(question: AdmissionQuestion): Admission {
  const waitMillis = (question.ahead + 1) * 1000 /
    Math.max(0.5, question.servedPerSecond);
  const finishMillis = waitMillis + question.finishMillis;
  const objective = Math.max(0, question.objectiveLeftMillis) *
    objectiveTolerance;
  const late = question.objectiveLeftMillis <= 0;
  const inTime = finishMillis <= question.leftMillis * usableShareOfDeadline;
  if (inTime && (late || finishMillis <= objective)) {
    return { kind: "wait", expectedWaitMillis: waitMillis };
  }
  const spread = 1 + retrySpread * question.random;
  return {
    kind: "refuse",
    expectedWaitMillis: waitMillis,
    retryAfterMillis: Math.min(
      mostRetryAfterMillis,
      Math.max(leastRetryAfterMillis, waitMillis * spread),
    ),
  };
}
