/**
 * Ways to decide that a replay compares: the product's own, and those that
 * were weighed against it or came before it.
 */
import type { Decisions } from "@bamboolane/gateway/request_placer";
import type { GatewayRequest } from "@bamboolane/gateway/gateway_request";
import { findHomes } from "@bamboolane/steering/object_homes";
import { placeRequest } from "@bamboolane/steering/place_request";
import {
  type Admission,
  admitRequest,
} from "@bamboolane/steering/admit_request";
import { WaitQueue } from "@bamboolane/steering/wait_queue";

/** One way to decide. */
export interface ReplayArm {
  name: string;
  decisions: Partial<Decisions>;
  /** Entries begin with homes elsewhere where places suggest it. */
  usesPriorShare: boolean;
}

/** Takes everything that may still be answered by its deadline. */
const admitByDeadline: Decisions["admit"] = (question): Admission => {
  const expectedMillis = question.waitMillis + question.serviceMillis;
  if (expectedMillis <= question.remainingMillis) return { kind: "accept" };
  return {
    kind: "refuse",
    retryAfterMillis: expectedMillis - question.remainingMillis,
    expectedMillis,
    boundMillis: question.remainingMillis,
  };
};

/** Asks each refused caller back after the same short pause. */
const admitWithFixedPause: Decisions["admit"] = (question): Admission => {
  const admission = admitRequest(question);
  return admission.kind === "accept"
    ? admission
    : { ...admission, retryAfterMillis: 100 };
};

/** A line in the order of arrival. */
class FifoLine extends WaitQueue<GatewayRequest> {
  override take(): GatewayRequest | undefined {
    const first = this.oldest();
    if (first !== undefined) this.remove(first);
    return first;
  }
}

/** All arms; the first is the product. */
export const replayArms: readonly ReplayArm[] = [
  { name: "product", decisions: {}, usesPriorShare: true },
  {
    name: "no share to begin with",
    decisions: {},
    usesPriorShare: false,
  },
  {
    name: "no homes",
    decisions: {
      findHomes: () => ({ first: undefined, second: undefined }),
      place: (targets, question) =>
        placeRequest(targets, { ...question, object: undefined }),
    },
    usesPriorShare: true,
  },
  {
    name: "homes in all regions alike",
    decisions: {
      findHomes: (object, targets, weightOf) =>
        findHomes(
          object,
          targets,
          (target) => weightOf(target) > 0 ? target.record.slots : 0,
        ),
    },
    usesPriorShare: true,
  },
  {
    name: "stray at any load",
    decisions: {
      place: (targets, question) =>
        placeRequest(targets, { ...question, load: 0 }),
    },
    usesPriorShare: true,
  },
  {
    name: "admit by deadline",
    decisions: { admit: admitByDeadline },
    usesPriorShare: true,
  },
  {
    name: "back after 100 ms",
    decisions: { admit: admitWithFixedPause },
    usesPriorShare: true,
  },
  {
    name: "line in order of arrival",
    decisions: { createQueue: () => new FifoLine() },
    usesPriorShare: true,
  },
];
