/**
 * Sums the requests that other entries have in flight at each target. Each
 * report replaces all counts of its source, and the counts of a source that
 * stops reporting expire. The sums are maintained incrementally, so that a
 * placement reads them in constant time whatever the number of entries.
 */

interface Source {
  /** Requests in flight by target. */
  counts: ReadonlyMap<string, number>;
  untilMillis: number;
}

/**
 * Maximum number of counts of all sources together; exceeds the number of targets that
 * the largest fleet uses at a time. A report beyond it counts as empty.
 */
const MAX_COUNTS = 50_000;
const NO_COUNTS: ReadonlyMap<string, number> = new Map();

/** Requests in flight by target, summed over sources. */
export class InFlightSums {
  readonly #sources = new Map<string, Source>();
  readonly #sums = new Map<string, number>();
  #nextExpiryMillis = Infinity;
  /** Number of counts of all sources. */
  #size = 0;

  /** Replaces the counts of `source`; they expire at `untilMillis`. */
  set(
    source: string,
    reported: ReadonlyMap<string, number>,
    untilMillis: number,
  ): void {
    this.remove(source);
    const counts = this.#size + reported.size > MAX_COUNTS
      ? NO_COUNTS
      : reported;
    this.#size += counts.size;
    this.#sources.set(source, { counts, untilMillis });
    this.#nextExpiryMillis = Math.min(this.#nextExpiryMillis, untilMillis);
    for (const [target, count] of counts) this.#add(target, count);
  }

  remove(source: string): void {
    const known = this.#sources.get(source);
    if (known === undefined) return;
    this.#sources.delete(source);
    this.#size -= known.counts.size;
    for (const [target, count] of known.counts) this.#add(target, -count);
  }

  /** Sum over all unexpired sources. */
  sumAt(target: string, nowMillis: number): number {
    this.#expire(nowMillis);
    return this.#sums.get(target) ?? 0;
  }

  /** Counts of one source; undefined once they have expired. */
  countsOf(
    source: string,
    nowMillis: number,
  ): ReadonlyMap<string, number> | undefined {
    this.#expire(nowMillis);
    return this.#sources.get(source)?.counts;
  }

  #expire(nowMillis: number): void {
    if (nowMillis < this.#nextExpiryMillis) return;
    this.#nextExpiryMillis = Infinity;
    for (const [name, { untilMillis }] of this.#sources) {
      if (untilMillis <= nowMillis) this.remove(name);
      else {
        this.#nextExpiryMillis = Math.min(this.#nextExpiryMillis, untilMillis);
      }
    }
  }

  #add(target: string, count: number): void {
    const sum = (this.#sums.get(target) ?? 0) + count;
    if (sum === 0) this.#sums.delete(target);
    else this.#sums.set(target, sum);
  }
}
