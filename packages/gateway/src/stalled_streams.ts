/**
 * Streamed answers that wait until their callers read more. Each takes a place at its
 * target until it ends; where others need the place, it is cut.
 */
import type { TargetState } from "@bamboolane/steering/target_state";

/** A streamed answer that waits for its caller. */
export interface StalledStream {
  sinceMillis: number;
  /** Ends the answer and its attempt. */
  cut: (waitedMillis: number) => void;
}

/** How long a caller may read nothing while others need the place of its answer. */
const MAX_WAIT_MILLIS = 2000;

/** The answers of one entry that wait for their callers. */
export class StalledStreams {
  /** The longest wait comes first. */
  readonly #streams = new Map<TargetState, Set<StalledStream>>();

  add(target: TargetState, stream: StalledStream): void {
    const streams = this.#streams.get(target);
    if (streams) streams.add(stream);
    else this.#streams.set(target, new Set([stream]));
  }

  delete(target: TargetState, stream: StalledStream): void {
    const streams = this.#streams.get(target);
    streams?.delete(stream);
    if (streams?.size === 0) this.#streams.delete(target);
  }

  /** Cuts answers at targets where requests wait for a slot. */
  freeSlots(nowMillis: number): void {
    for (const target of [...this.#streams.keys()]) {
      while (target.inFlight(nowMillis) > target.record.slots) {
        if (!this.cutLongest([target], nowMillis)) break;
      }
    }
  }

  /** Cuts the longest wait at these targets; returns false if all are short. */
  cutLongest(targets: Iterable<TargetState>, nowMillis: number): boolean {
    let longest: StalledStream | undefined;
    for (const target of targets) {
      const [first] = this.#streams.get(target) ?? [];
      if (first === undefined) continue;
      if (longest === undefined || first.sinceMillis < longest.sinceMillis) {
        longest = first;
      }
    }
    if (longest === undefined) return false;
    const waitedMillis = nowMillis - longest.sinceMillis;
    if (waitedMillis < MAX_WAIT_MILLIS) return false;
    longest.cut(waitedMillis);
    return true;
  }
}
