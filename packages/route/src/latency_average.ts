/**
 * A peak-sensitive moving average: a sample above the average raises it by a fixed
 * weight, however soon it comes; a lower one reduces it by a weight that grows with
 * the time since the last sample, and has a lower bound, so that many samples in a
 * short time reduce it as well. The first sample counts like a lower one.
 */

/** Time after which a lower sample replaces most of the average. */
const DECAY_MILLIS = 2000;
/** Weight of a sample above the average. */
const RISE_WEIGHT = 0.3;
/** Least weight of a sample below the average. */
const MIN_FALL_WEIGHT = 0.1;

/** Average latency of one target. */
export class LatencyAverage {
  #valueMillis = 0;
  #updatedAtMillis = 0;

  /** Adds a sample. Unit of both: milliseconds. */
  observe(sampleMillis: number, nowMillis: number): void {
    const elapsedMillis = Math.max(0, nowMillis - this.#updatedAtMillis);
    this.#updatedAtMillis = nowMillis;
    const rises = sampleMillis > this.#valueMillis && this.#valueMillis > 0;
    const weight = rises
      ? RISE_WEIGHT
      : Math.max(MIN_FALL_WEIGHT, 1 - Math.exp(-elapsedMillis / DECAY_MILLIS));
    this.#valueMillis += (sampleMillis - this.#valueMillis) * weight;
  }

  /** The average, or 0 before the first sample. Unit: milliseconds. */
  read(): number {
    return this.#valueMillis;
  }
}
