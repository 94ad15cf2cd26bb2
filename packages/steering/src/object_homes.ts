/**
 * Finds the homes of an object: the two targets that its requests go to while
 * these have capacity. Weighted rendezvous hashing: every entry that sees the
 * same targets and weights computes the same homes, and losing a target moves
 * only its objects. A target caches few objects, so a request sent to a target
 * that is not a home evicts another object there.
 */
import { hashToUnitInterval } from "@bamboolane/route/rendezvous";
import type { TargetState } from "./target_state.ts";

/** First and second choice for an object; undefined without enough usable targets. */
export interface ObjectHomes {
  first: TargetState | undefined;
  second: TargetState | undefined;
}

const distanceCache = new Map<string, number>();
/** Maximum number of cached object and target pairs; each takes about 100 bytes. */
const MAX_CACHED_DISTANCES = 50_000;
/** Maximum length of all their names together. */
const MAX_CACHED_CHARACTERS = 2_000_000;
let cachedCharacters = 0;

/** Exponentially distributed hash distance, the same in every process. */
function distance(object: string, target: string): number {
  const key = `${object}/${target}`;
  const known = distanceCache.get(key);
  if (known !== undefined) return known;
  const isFull = distanceCache.size >= MAX_CACHED_DISTANCES ||
    cachedCharacters + key.length > MAX_CACHED_CHARACTERS;
  if (isFull) {
    distanceCache.clear();
    cachedCharacters = 0;
  }
  cachedCharacters += key.length;
  const value = -Math.log(1 - hashToUnitInterval(key));
  distanceCache.set(key, value);
  return value;
}

/** Ranks the targets by weighted distance; a weight of 0 excludes a target. */
export function findHomes(
  object: string,
  targets: readonly TargetState[],
  weightOf: (target: TargetState) => number,
): ObjectHomes {
  const homes: ObjectHomes = { first: undefined, second: undefined };
  let firstScore = Infinity;
  let secondScore = Infinity;
  for (const target of targets) {
    const weight = weightOf(target);
    if (weight <= 0) continue;
    const score = distance(object, target.record.id) / weight;
    if (score < firstScore) {
      homes.second = homes.first;
      secondScore = firstScore;
      homes.first = target;
      firstScore = score;
    } else if (score < secondScore) {
      homes.second = target;
      secondScore = score;
    }
  }
  return homes;
}
