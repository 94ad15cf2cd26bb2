/**
 * Divides the rate that a cold target bears among entries. It answers a large
 * region: if each of many entries sent its first request at once, the target
 * would get them all in the same second. So only as many entries send there as
 * the rate has whole requests, chosen by hashing, each an equal part. Silent
 * entries keep their part, so the sum holds during a partition.
 */
import { hashToShare } from "@bamboolane/route/rendezvous";

/** Requests per second that `self` may send to a cold target; 0 for none. */
export function allocateWarmupRate(
  self: string,
  options: {
    /** All known entries that may send to the target, without `self`. */
    others: readonly string[];
    target: string;
    /** What the target bears from all entries together. */
    perSecond: number;
  },
): number {
  const { others, target, perSecond } = options;
  const senders = Math.max(1, Math.floor(perSecond));
  if (others.length < senders) return perSecond / (others.length + 1);
  const own = hashToShare(`${target}/${self}`);
  const ahead = others.filter((entry) =>
    hashToShare(`${target}/${entry}`) < own
  );
  return ahead.length < senders ? perSecond / senders : 0;
}
