/**
 * Names the two targets that an object's requests go to while there is room.
 * Weighted rendezvous hashing: each entry that sees the same targets and
 * weights names the same two, and losing a target moves only its objects. A
 * target keeps few objects, so requests that stray push others out.
 */
import { hashToShare } from "@bamboolane/route/rendezvous";
import type { TargetState } from "./target_state.ts";

/** First and second choice of an object. */
export interface ObjectHomes {
  first: TargetState | undefined;
  second: TargetState | undefined;
}

const distances = new Map<string, number>();
/** Pairs of objects and targets remembered; each takes about 100 bytes. */
const maxDistances = 100_000;

/** Exponentially distributed, the same in every process. */
function distance(object: string, target: string): number {
  const key = `${object}/${target}`;
  const known = distances.get(key);
  if (known !== undefined) return known;
  if (distances.size >= maxDistances) distances.clear();
  const value = -Math.log(1 - hashToShare(key));
  distances.set(key, value);
  return value;
}

/** Ranks targets of positive weight; `weightOf` gives 0 to those left out. */
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
