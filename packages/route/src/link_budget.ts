/**
 * Limits the bytes that this instance sends to another region. Bulk waits while
 * the budget is below a reserve; interactive bytes are deducted without
 * waiting, so that bulk yields to them.
 */
import { Lane } from "@bamboolane/types/fleet";

/** Bucket size, in seconds of the link's rate. */
const BURST_SECONDS = 0.05;
/** Share of the bucket that bulk leaves to interactive requests. */
const INTERACTIVE_RESERVE_SHARE = 0.25;

/** Options of {@link LinkBudget}. */
export interface LinkBudgetOptions {
  bytesPerSecond: number;
  nowMillis: number;
}

/** Token bucket of one direction of one link. */
export class LinkBudget {
  #bytesPerSecond: number;
  #tokens: number;
  #refilledAtMillis: number;

  constructor(options: LinkBudgetOptions) {
    this.#bytesPerSecond = options.bytesPerSecond;
    this.#tokens = options.bytesPerSecond * BURST_SECONDS;
    this.#refilledAtMillis = options.nowMillis;
  }

  /** Changes the rate, for example when the number of instances that share the link changes. */
  setRate(bytesPerSecond: number): void {
    this.#bytesPerSecond = bytesPerSecond;
  }

  /**
   * Takes `bytes` from the budget, or returns the time that bulk has to wait
   * before the next call. Unit of the result: milliseconds; 0 means that the
   * bytes may be sent.
   */
  take(bytes: number, lane: Lane, options: { nowMillis: number }): number {
    this.#refill(options.nowMillis);
    const reserve = this.#bytesPerSecond * BURST_SECONDS *
      INTERACTIVE_RESERVE_SHARE;
    if (lane === Lane.bulk && this.#tokens < reserve) {
      return Math.max(
        1,
        1000 * (reserve - this.#tokens) / this.#bytesPerSecond,
      );
    }
    this.#tokens -= bytes;
    return 0;
  }

  #refill(nowMillis: number): void {
    const elapsedSeconds = Math.max(0, nowMillis - this.#refilledAtMillis) /
      1000;
    this.#refilledAtMillis = nowMillis;
    const burst = this.#bytesPerSecond * BURST_SECONDS;
    this.#tokens = Math.min(
      burst,
      this.#tokens + elapsedSeconds * this.#bytesPerSecond,
    );
  }
}
