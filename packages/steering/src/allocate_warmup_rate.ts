/**
 * Divides the request rate that a cold target can take among the entries of its
 * region. If each of many entries sent its first request at once, the target
 * would receive them all within the same second. Therefore only as many entries
 * send to it as the rate has whole requests per second; they are chosen by
 * hashing and get equal parts. Known entries that are not live keep their part,
 * so that the total doesn't exceed the rate during a partition.
 */
import { hashToUnitInterval } from "@bamboolane/route/rendezvous";

/** Requests per second that `self` may send to a cold target; 0 for none. */
export function allocateWarmupRate(
  self: string,
  options: {
    /** Ids of all other known entries that may send to the target. */
    others: readonly string[];
    target: string;
    /** Rate that the target can take from all entries together. */
    perSecond: number;
  },
): number {
  const { others, target, perSecond } = options;
  const senderCount = Math.max(1, Math.floor(perSecond));
  if (others.length < senderCount) return perSecond / (others.length + 1);
  const ownHash = hashToUnitInterval(`${target}/${self}`);
  // The entries with the smallest hashes are the senders.
  const ahead = others.filter((entry) =>
    hashToUnitInterval(`${target}/${entry}`) < ownHash
  );
  return ahead.length < senderCount ? perSecond / senderCount : 0;
}
