/**
 * Exponentially weighted moving average.
 */

/** Average over the samples, weighted towards recent ones. */
export class MovingAverage {
  readonly #weight: number;
  #value: number;
  #sampleCount = 0;

  /** `weight` is the weight of a new sample, in (0, 1]. */
  constructor(weight: number, initial: number) {
    this.#weight = weight;
    this.#value = initial;
  }

  /**
   * Adds a sample. The first samples weigh more, so that the initial value decays
   * quickly.
   */
  add(sample: number): void {
    this.#sampleCount++;
    const weight = Math.max(this.#weight, 1 / (this.#sampleCount + 1));
    this.#value += (sample - this.#value) * weight;
  }

  get sampleCount(): number {
    return this.#sampleCount;
  }

  read(): number {
    return this.#value;
  }
}
