/**
 * A peak-sensitive moving average: a sample above the average raises it at once
 * by a fixed weight, lower samples reduce it over the decay time.
 */

const DECAY_MILLIS = 2000;

/** Average latency of one target. */
export class LatencyAverage {
  #valueMillis = 0;
  #updatedAtMillis = 0;

  /** Adds a sample. Unit of both: milliseconds. */
  observe(sampleMillis: number, nowMillis: number): void {
    const elapsedMillis = Math.max(0, nowMillis - this.#updatedAtMillis);
    const retainedWeight = Math.exp(-elapsedMillis / DECAY_MILLIS);
    this.#updatedAtMillis = nowMillis;
    this.#valueMillis =
      sampleMillis > this.#valueMillis && this.#valueMillis > 0
        ? this.#valueMillis * 0.7 + sampleMillis * 0.3
        : this.#valueMillis * Math.min(retainedWeight, 0.9) +
          sampleMillis * (1 - Math.min(retainedWeight, 0.9));
  }

  /** The average, or 0 before the first sample. Unit: milliseconds. */
  read(): number {
    return this.#valueMillis;
  }
}
