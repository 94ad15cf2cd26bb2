/**
 * Counts events over a sliding window in a ring of buckets.
 */

const buckets = 20;

/** Events of the last `windowMillis`. */
export class WindowCounter {
  readonly #bucketMillis: number;
  readonly #counts = new Float64Array(buckets);
  #latest = 0;
  #total = 0;

  constructor(windowMillis: number) {
    this.#bucketMillis = windowMillis / (buckets - 1);
  }

  add(amount: number, nowMillis: number): void {
    this.#advance(nowMillis);
    this.#counts[this.#latest % buckets] += amount;
    this.#total += amount;
  }

  /** Sum over at least the window and at most one bucket more. */
  read(nowMillis: number): number {
    this.#advance(nowMillis);
    return this.#total;
  }

  #advance(nowMillis: number): void {
    const bucket = Math.floor(nowMillis / this.#bucketMillis);
    if (bucket <= this.#latest) return;
    const steps = Math.min(buckets, bucket - this.#latest);
    for (let i = 1; i <= steps; i++) {
      const index = (bucket - steps + i) % buckets;
      this.#total -= this.#counts[index];
      this.#counts[index] = 0;
    }
    if (steps === buckets) this.#total = 0;
    this.#latest = bucket;
  }
}
