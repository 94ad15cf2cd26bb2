/**
 * A peak-sensitive moving average: a slow sample counts at once, fast
 * samples bring it down over the decay time.
 */

const decayMillis = 2000;

/** Average latency of one target. */
export class LatencyAverage {
  #valueMillis = 0;
  #updatedAtMillis = 0;

  /** Adds a sample. Unit of both: milliseconds. */
  observe(sampleMillis: number, nowMillis: number): void {
    const elapsed = Math.max(0, nowMillis - this.#updatedAtMillis);
    const keep = Math.exp(-elapsed / decayMillis);
    this.#updatedAtMillis = nowMillis;
    this.#valueMillis =
      sampleMillis > this.#valueMillis && this.#valueMillis > 0
        ? this.#valueMillis * 0.7 + sampleMillis * 0.3
        : this.#valueMillis * Math.min(keep, 0.9) +
          sampleMillis * (1 - Math.min(keep, 0.9));
  }

  /** The average, or 0 before the first sample. Unit: milliseconds. */
  read(): number {
    return this.#valueMillis;
  }
}
