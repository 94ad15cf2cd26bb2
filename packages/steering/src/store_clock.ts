/**
 * Tells when an answer of the store was true, on this entry's clock. The store names its
 * own steady clock in its answers; the fastest of the recent ones shows how far the two
 * clocks are apart. A late answer is thus known to be old.
 */

/** Answers older than one to two windows don't count, as clocks drift. */
const WINDOW_MILLIS = 30_000;

/** An answer of the store. */
export interface TimedAnswer {
  /** The store's clock; undefined if it doesn't tell. */
  storeMillis: number | undefined;
  askedAtMillis: number;
  receivedAtMillis: number;
}

/** Difference between this entry's clock and the store's. */
export class StoreClock {
  #windowStartMillis = -Infinity;
  /** Least differences in the window, and in the one before. */
  #current = Infinity;
  #previous = Infinity;

  /** When the answer was true; not before the store was asked. */
  answeredAtMillis(answer: TimedAnswer): number {
    const { storeMillis, askedAtMillis, receivedAtMillis } = answer;
    if (storeMillis === undefined) return askedAtMillis;
    if (receivedAtMillis - this.#windowStartMillis >= WINDOW_MILLIS) {
      this.#windowStartMillis = receivedAtMillis;
      this.#previous = this.#current;
      this.#current = Infinity;
    }
    this.#current = Math.min(this.#current, receivedAtMillis - storeMillis);
    const difference = Math.min(this.#current, this.#previous);
    return Math.max(askedAtMillis, storeMillis + difference);
  }
}
