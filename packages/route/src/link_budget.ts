/**
 * Shares out the bytes that this instance may send to another region. Bulk
 * waits until there is room beyond a reserve; interactive bytes are counted
 * at once, so bulk yields to them.
 */
import { Lane } from "@bamboolane/types/fleet";

/** Unit: seconds of the link's rate that may be sent in one burst. */
const burstSeconds = 0.05;
/** Part of a burst that bulk leaves to interactive requests. */
const reserveShare = 0.25;

/** Options of {@link LinkBudget}. */
export interface LinkBudgetOptions {
  bytesPerSecond: number;
  nowMillis: number;
}

/** Token bucket of one direction of one link. */
export class LinkBudget {
  #bytesPerSecond: number;
  #tokens: number;
  #filledAtMillis: number;

  constructor(options: LinkBudgetOptions) {
    this.#bytesPerSecond = options.bytesPerSecond;
    this.#tokens = options.bytesPerSecond * burstSeconds;
    this.#filledAtMillis = options.nowMillis;
  }

  /** Changes the rate, such as when the number of sharing instances changes. */
  setRate(bytesPerSecond: number): void {
    this.#bytesPerSecond = bytesPerSecond;
  }

  /**
   * Takes `bytes`, or tells how long bulk has to wait before it asks again.
   * Unit of the result: milliseconds; 0 means that the bytes may go.
   */
  take(bytes: number, lane: Lane, options: { nowMillis: number }): number {
    this.#fill(options.nowMillis);
    const reserve = this.#bytesPerSecond * burstSeconds * reserveShare;
    if (lane === Lane.bulk && this.#tokens < reserve) {
      return Math.max(
        1,
        1000 * (reserve - this.#tokens) / this.#bytesPerSecond,
      );
    }
    this.#tokens -= bytes;
    return 0;
  }

  #fill(nowMillis: number): void {
    const elapsedSeconds = Math.max(0, nowMillis - this.#filledAtMillis) / 1000;
    this.#filledAtMillis = nowMillis;
    const burst = this.#bytesPerSecond * burstSeconds;
    this.#tokens = Math.min(
      burst,
      this.#tokens + elapsedSeconds * this.#bytesPerSecond,
    );
  }
}
