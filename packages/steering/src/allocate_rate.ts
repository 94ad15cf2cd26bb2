/**
 * Divides the request rate that a target takes from all entries together among
 * them, without coordination: every entry that knows the same entries computes
 * the same parts. If each of many entries sent its first request at once, the
 * target would get them all in the same moment. Therefore only as many entries
 * send to it as the target tolerates requests in advance of its rate; they are
 * chosen by hashing and get equal parts. Known entries that are not live
 * keep their part, so that the total doesn't exceed the rate during a partition.
 */
import { hashToUnitInterval } from "@bamboolane/route/rendezvous";
import type { RateShare } from "./rate_limiter.ts";

/** Orders entries by their precedence as senders to a target, the first one first. */
export function rankSenders(
  target: string,
  entries: readonly string[],
): string[] {
  return entries
    .map((entry) => ({ entry, hash: hashToUnitInterval(`${target}/${entry}`) }))
    .sort((a, b) => a.hash - b.hash)
    .map(({ entry }) => entry);
}

/** How a target's rate may be divided. */
interface RateTerms {
  /** Requests per second that the target takes from all entries together. */
  perSecond: number;
  /** Requests that the target tolerates at once in advance of its rate. */
  burst: number;
}

/** Terms of a cold target: at most one second's requests in advance. */
export function warmupTerms(perSecond: number): RateTerms {
  return { perSecond, burst: Math.max(1, Math.floor(perSecond)) };
}

/** Time whose requests a target with a request limit tolerates in advance. */
const LIMIT_BURST_SECONDS = 2;
/** Requests that such a target tolerates in advance, whatever its limit. */
const LIMIT_BURST_REQUESTS = 3;

/** Terms of a target with a request limit. */
export function limitTerms(perSecond: number): RateTerms {
  return {
    perSecond,
    burst: perSecond * LIMIT_BURST_SECONDS + LIMIT_BURST_REQUESTS,
  };
}

const NO_SHARE: RateShare = { perSecond: 0, burst: 1 };

/** The part of a target's rate that `self` may use. */
export function allocateRate(
  self: string,
  options: {
    terms: RateTerms;
    /** Known entries in order of precedence. */
    ranked: readonly string[];
    /** Number of entries, from the first one on, that the rate is divided among. */
    candidates: number;
    /**
     * If given, and no sender is live, the first live entry after them takes a
     * part: otherwise nobody would notice that a limit has ended.
     */
    isLive?: (entry: string) => boolean;
  },
): RateShare {
  const { terms, ranked, candidates, isLive } = options;
  const senders = Math.min(candidates, Math.floor(terms.burst));
  const rank = ranked.indexOf(self);
  if (rank < 0 || senders === 0) return NO_SHARE;
  const part = {
    perSecond: terms.perSecond / senders,
    burst: terms.burst / senders,
  };
  if (rank < senders) return part;
  if (isLive === undefined) return NO_SHARE;
  const precedesLive = ranked.slice(0, rank).some((entry) => isLive(entry));
  return precedesLive ? NO_SHARE : part;
}
