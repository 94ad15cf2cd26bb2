/**
 * An exponentially weighted average over samples.
 */

/** Average of the samples seen, weighted towards the latest. */
export class MovingAverage {
  readonly #weight: number;
  #value: number;
  #samples = 0;

  /** `weight` is the part that one sample has, in (0, 1]. */
  constructor(weight: number, initial: number) {
    this.#weight = weight;
    this.#value = initial;
  }

  /** The first samples count more, so that the initial guess fades at once. */
  add(sample: number): void {
    this.#samples++;
    const weight = Math.max(this.#weight, 1 / (this.#samples + 1));
    this.#value += (sample - this.#value) * weight;
  }

  get samples(): number {
    return this.#samples;
  }

  read(): number {
    return this.#value;
  }
}
