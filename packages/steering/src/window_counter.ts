/**
 * Counts events over a sliding window with a ring buffer.
 */

const BUCKET_COUNT = 20;

/** Number of events in the last `windowMillis`. */
export class WindowCounter {
  readonly #bucketMillis: number;
  readonly #counts = new Float64Array(BUCKET_COUNT);
  #latest = 0;
  #total = 0;

  constructor(windowMillis: number) {
    this.#bucketMillis = windowMillis / (BUCKET_COUNT - 1);
  }

  add(amount: number, nowMillis: number): void {
    this.#advance(nowMillis);
    this.#counts[this.#latest % BUCKET_COUNT] += amount;
    this.#total += amount;
  }

  /** Sum over the window, which is extended by at most one bucket. */
  read(nowMillis: number): number {
    this.#advance(nowMillis);
    return this.#total;
  }

  #advance(nowMillis: number): void {
    const bucket = Math.floor(nowMillis / this.#bucketMillis);
    if (bucket <= this.#latest) return;
    const steps = Math.min(BUCKET_COUNT, bucket - this.#latest);
    for (let i = 1; i <= steps; i++) {
      const index = (bucket - steps + i) % BUCKET_COUNT;
      this.#total -= this.#counts[index];
      this.#counts[index] = 0;
    }
    if (steps === BUCKET_COUNT) this.#total = 0;
    this.#latest = bucket;
  }
}
