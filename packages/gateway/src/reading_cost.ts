/**
 * What it has cost lately to read one connection.
 */

/** Time after which what reading has cost counts half. */
const COST_HALF_LIFE_MILLIS = 5000;
/** Bytes whose reading takes a millisecond at least; little pieces take longer. */
const BYTES_PER_MILLI = 500_000;

/** Time that was spent on what was read of a connection. */
export class ReadingCost {
  /** What reading has cost up to a time, weighted by its age then. */
  #cost = { weightedMillis: 0, readBytes: 0, atMillis: performance.now() };

  /** Records the time that was spent on something that was read. */
  record(millis: number): void {
    this.#cost.weightedMillis += millis;
  }

  /** Time that was spent lately, with that for all bytes read; older times count less. */
  recentMillis(nowMillis: number, bytesRead: number): number {
    const { weightedMillis, readBytes, atMillis } = this.#cost;
    const weight = 0.5 ** ((nowMillis - atMillis) / COST_HALF_LIFE_MILLIS);
    this.#cost = {
      weightedMillis: weightedMillis * weight +
        (bytesRead - readBytes) / BYTES_PER_MILLI,
      readBytes: bytesRead,
      atMillis: nowMillis,
    };
    return this.#cost.weightedMillis;
  }
}
