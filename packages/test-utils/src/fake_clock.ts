/**
 * A clock that tests advance explicitly.
 */

/** Monotonic and wall time controlled by a test. Unit: milliseconds. */
export class FakeClock {
  #nowMillis = 1000;

  nowMillis(): number {
    return this.#nowMillis;
  }

  wallMillis(): number {
    return 1_700_000_000_000 + this.#nowMillis;
  }

  advance(millis: number): void {
    this.#nowMillis += millis;
  }
}
