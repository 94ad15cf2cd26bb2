/**
 * Learned work times of one service: for objects that the target served
 * lately, and for others.
 */
import { MovingAverage } from "./moving_average.ts";

/** Weight of one answer: about fifty make the average. */
const workWeight = 0.02;
/** Work before the first answer, relative to the route's objective. */
const initialShareOfObjective = 0.6;
/** Work for a known object before the first such answer, relative to other work. */
const initialWarmShare = 0.7;

/** Expected work times. Unit: milliseconds. */
export class WorkTimeEstimate {
  readonly #fresh: MovingAverage;
  readonly #warm: MovingAverage;

  constructor(options: { objectiveMillis: number }) {
    const initial = options.objectiveMillis * initialShareOfObjective;
    this.#fresh = new MovingAverage(workWeight, initial);
    this.#warm = new MovingAverage(workWeight, initial * initialWarmShare);
  }

  /** Adds the work time of one answer, scaled to a target of usual speed. */
  addSample(workMillis: number, options: { warm: boolean }): void {
    (options.warm ? this.#warm : this.#fresh).add(workMillis);
  }

  workMillis(warm: boolean): number {
    return warm ? this.#warm.read() : this.#fresh.read();
  }

  /** Average over what was seen, for waits behind unknown work. */
  meanMillis(): number {
    const warm = this.#warm.samples;
    const fresh = this.#fresh.samples;
    if (warm + fresh === 0) return this.#fresh.read();
    return (this.#warm.read() * warm + this.#fresh.read() * fresh) /
      (warm + fresh);
  }
}
