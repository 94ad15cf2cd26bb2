/**
 * The arms of a replay: the product's decisions, and the alternatives and
 * earlier versions that they are compared with.
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

/** One variant of the decisions. */
export interface ReplayArm {
  name: string;
  decisions: Partial<Decisions>;
  /**
   * Entries start with an estimate of the share of objects with homes in other
   * regions, from the numbers of slots and entries.
   */
  usesInitialRemoteShare: boolean;
}

/** Accepts every request that can be answered by its deadline. */
const admitByDeadline: Decisions["admit"] = (input): Admission => {
  const expectedMillis = input.waitMillis + input.serviceMillis;
  if (expectedMillis <= input.remainingMillis) return { kind: "accept" };
  return {
    kind: "refuse",
    retryAfterMillis: expectedMillis - input.remainingMillis,
    expectedMillis,
    boundMillis: input.remainingMillis,
  };
};

/** Tells every refused caller to retry after the same short delay. */
const admitWithFixedRetryAfter: Decisions["admit"] = (input): Admission => {
  const admission = admitRequest(input);
  return admission.kind === "accept"
    ? admission
    : { ...admission, retryAfterMillis: 100 };
};

/** Serves waiting requests in order of arrival. */
class FifoQueue extends WaitQueue<GatewayRequest> {
  override take(): GatewayRequest | undefined {
    const first = this.oldest();
    if (first !== undefined) this.remove(first);
    return first;
  }
}

/** All arms; the first one is the product. */
export const REPLAY_ARMS: readonly ReplayArm[] = [
  { name: "product", decisions: {}, usesInitialRemoteShare: true },
  {
    name: "no initial remote share",
    decisions: {},
    usesInitialRemoteShare: false,
  },
  {
    name: "no homes",
    decisions: {
      findHomes: () => ({ first: undefined, second: undefined }),
      place: (targets, input) =>
        placeRequest(targets, { ...input, object: undefined }),
    },
    usesInitialRemoteShare: true,
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
    usesInitialRemoteShare: true,
  },
  {
    name: "leave home targets at any load",
    decisions: {
      place: (targets, input) => placeRequest(targets, { ...input, load: 0 }),
    },
    usesInitialRemoteShare: true,
  },
  {
    name: "admit by deadline",
    decisions: { admit: admitByDeadline },
    usesInitialRemoteShare: true,
  },
  {
    name: "back after 100 ms",
    decisions: { admit: admitWithFixedRetryAfter },
    usesInitialRemoteShare: true,
  },
  {
    name: "queue in order of arrival",
    decisions: { createQueue: () => new FifoQueue() },
    usesInitialRemoteShare: true,
  },
];
