/**
 * Measures how long the machine was suspended, which the steady clock leaves out: what an
 * entry knows has aged meanwhile. A step of the time of day counts as well, as the two
 * can't be told apart; what an entry knows then only looks older than it is.
 */

/** Less is drift, or a correction of the time of day. */
const MIN_SUSPENDED_MILLIS = 100;

/** The clocks, for tests. */
export interface Clocks {
  steadyMillis: () => number;
  timeOfDayMillis: () => number;
}

const SYSTEM_CLOCKS: Clocks = {
  steadyMillis: () => performance.now(),
  timeOfDayMillis: () => Date.now(),
};

/** Time that the time of day has and the steady clock has not. */
export class SuspendedTime {
  readonly #clocks: Clocks;
  #differenceMillis: number;

  constructor(clocks: Clocks = SYSTEM_CLOCKS) {
    this.#clocks = clocks;
    this.#differenceMillis = this.#difference();
  }

  /** Time of the suspensions since the last call; 0 if there was none. */
  takeMillis(): number {
    const difference = this.#difference();
    const millis = difference - this.#differenceMillis;
    if (Math.abs(millis) < MIN_SUSPENDED_MILLIS) return 0;
    this.#differenceMillis = difference;
    return Math.max(0, millis);
  }

  #difference(): number {
    return this.#clocks.timeOfDayMillis() - this.#clocks.steadyMillis();
  }
}
