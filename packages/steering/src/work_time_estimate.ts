/**
 * Estimates the work times of one service: for warm objects, which the target
 * served recently, and for cold ones.
 */
import { MovingAverage } from "./moving_average.ts";

/** Weight of one answer: the average covers about fifty. */
const SAMPLE_WEIGHT = 0.02;
/** Work time assumed before the first answer, relative to the route's objective. */
const INITIAL_OBJECTIVE_SHARE = 0.6;
/** Work time assumed for a warm object before the first such answer, relative to a cold one. */
const INITIAL_WARM_FACTOR = 0.7;

/** Moving averages of the work times. Unit: milliseconds. */
export class WorkTimeEstimate {
  readonly #cold: MovingAverage;
  readonly #warm: MovingAverage;
  readonly #objectiveMillis: number;

  constructor(options: { objectiveMillis: number }) {
    this.#objectiveMillis = options.objectiveMillis;
    const initialMillis = options.objectiveMillis * INITIAL_OBJECTIVE_SHARE;
    this.#cold = new MovingAverage(SAMPLE_WEIGHT, initialMillis);
    this.#warm = new MovingAverage(
      SAMPLE_WEIGHT,
      initialMillis * INITIAL_WARM_FACTOR,
    );
  }

  /** Adds the work time of one answer, scaled to a target of average speed. */
  addSample(workMillis: number, options: { warm: boolean }): void {
    (options.warm ? this.#warm : this.#cold).add(workMillis);
  }

  /** True if nothing was measured yet, and more is assumed than for this objective. */
  assumesMoreThan(objectiveMillis: number): boolean {
    const { sampleCount } = this.#warm;
    return this.#cold.sampleCount + sampleCount === 0 &&
      objectiveMillis < this.#objectiveMillis;
  }

  workMillis(warm: boolean): number {
    return warm ? this.#warm.read() : this.#cold.read();
  }

  /** Mean over all samples, for waits behind requests whose objects are unknown. */
  meanMillis(): number {
    const warm = this.#warm.sampleCount;
    const cold = this.#cold.sampleCount;
    if (warm + cold === 0) return this.#cold.read();
    return (this.#warm.read() * warm + this.#cold.read() * cold) /
      (warm + cold);
  }
}
