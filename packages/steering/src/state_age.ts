/**
 * Age of what an entry believes: the time since the store was known to have nothing
 * newer. Each entry measures it itself. An entry may take over what the store confirmed
 * to another one, but passes on only what the store confirmed to itself, so that an old
 * confirmation doesn't look newer with each entry that passes it on.
 */

/** Source of a confirmation that came from the store itself. */
export const STORE_SOURCE = "store";

/** Age of one table of the store, as an entry knows it. */
export class StateAge {
  #confirmedAtMillis = -Infinity;
  #source: string | undefined;
  #storeConfirmedAtMillis = -Infinity;

  /** The store, or the id of the entry, that confirmed the state last; undefined for none. */
  get source(): string | undefined {
    return this.#source;
  }

  /** Records that the state was complete at `atMillis`, by an answer of `source`. */
  confirm(atMillis: number, source: string): void {
    if (source === STORE_SOURCE) {
      this.#storeConfirmedAtMillis = Math.max(
        this.#storeConfirmedAtMillis,
        atMillis,
      );
    }
    if (atMillis <= this.#confirmedAtMillis) return;
    this.#confirmedAtMillis = atMillis;
    this.#source = source;
  }

  /** Adds time that the clock of the other calls leaves out. */
  add(millis: number): void {
    this.#confirmedAtMillis -= millis;
    this.#storeConfirmedAtMillis -= millis;
  }

  /** Time since the state was last known to be complete; Infinity if it never was. */
  millis(nowMillis: number): number {
    return nowMillis - this.#confirmedAtMillis;
  }

  /** The same for what the store confirmed to this entry itself. */
  millisByStore(nowMillis: number): number {
    return nowMillis - this.#storeConfirmedAtMillis;
  }
}
