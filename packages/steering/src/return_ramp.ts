/**
 * Bounds the requests that an entry has in flight at a target after a pause that the
 * target asked for. Several entries and their queues wait for the end of such a pause;
 * without a bound all of it would arrive at once, and the target would ask for the next
 * one. The bound begins with one request and grows by one with each answer.
 */

/** Bound on the requests of one entry at one target. */
export class ReturnRamp {
  #maxInFlight = Infinity;

  /** Starts anew, with a single request. */
  begin(): void {
    this.#maxInFlight = 1;
  }

  /** Records that the target ran a request; the bound ends at the target's slots. */
  recordAnswer(slots: number): void {
    this.#maxInFlight++;
    if (this.#maxInFlight >= slots) this.#maxInFlight = Infinity;
  }

  /** True if another request may be sent while `inFlight` are under way. */
  allows(inFlight: number): boolean {
    return inFlight < this.#maxInFlight;
  }
}
