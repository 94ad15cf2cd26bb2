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

/** Requests in flight by target, summed over sources. */
export class InFlightSums {
  readonly #sources = new Map<string, Source>();
  readonly #sums = new Map<string, number>();
  #nextExpiryMillis = Infinity;

  /** Replaces the counts of `source`; they expire at `untilMillis`. */
  set(
    source: string,
    counts: ReadonlyMap<string, number>,
    untilMillis: number,
  ): void {
    this.remove(source);
    this.#sources.set(source, { counts, untilMillis });
    this.#nextExpiryMillis = Math.min(this.#nextExpiryMillis, untilMillis);
    for (const [target, count] of counts) this.#add(target, count);
  }

  remove(source: string): void {
    const known = this.#sources.get(source);
    if (known === undefined) return;
    this.#sources.delete(source);
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
