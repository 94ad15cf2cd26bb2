/**
 * Turns of the event loop that follow each other, in each of which something happened
 * that happens once in a turn, such as the accept of a connection.
 */

/** One series at a time; it ends with the first turn in which nothing is recorded. */
export class TurnSeries {
  #turns = 0;
  #startMillis = 0;
  #isRecorded = false;

  /** Records that it happened in this turn; further calls in the same turn change nothing. */
  record(): void {
    if (this.#isRecorded) return;
    this.#isRecorded = true;
    if (this.#turns++ === 0) this.#startMillis = performance.now();
    const turns = this.#turns;
    setImmediate(() => {
      this.#isRecorded = false;
      setImmediate(() => {
        if (this.#turns === turns) this.#turns = 0;
      });
    });
  }

  /** Ends the series. */
  end(): void {
    this.#turns = 0;
  }

  /** Number of turns up to this one. */
  get turns(): number {
    return this.#turns;
  }

  /** Time since the first turn of the series. */
  get tookMillis(): number {
    return this.#turns === 0 ? 0 : performance.now() - this.#startMillis;
  }
}
