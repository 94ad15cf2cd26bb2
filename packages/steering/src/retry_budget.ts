/**
 * An entry's part of the fleet-wide retry budget of one service. It prevents
 * retry storms: when many targets fail at once, retries stay a bounded share of
 * requests over any window. The ratio applies to this entry's own requests;
 * the fixed allowance is divided by the number of all known entries, live or
 * not, so that the fleet-wide bound holds during a partition.
 */
import { WindowCounter } from "./window_counter.ts";

/** Fleet-wide budget of a service. */
export interface RetryBudgetSettings {
  /** Retries allowed for each request. */
  ratio: number;
  /** Additional retries in a window, for all entries together. */
  allowance: number;
  windowMillis: number;
}

/** Share of the budget that is used, as entries learn of a changed number of entries late. */
const SAFETY_FACTOR = 0.75;

/** Counts requests and retries of one service at one entry. */
export class RetryBudget {
  readonly #settings: () => RetryBudgetSettings;
  readonly #requests: WindowCounter;
  readonly #retries: WindowCounter;

  /** The settings may change later, except for the length of the window. */
  constructor(settings: () => RetryBudgetSettings) {
    const { windowMillis } = settings();
    this.#settings = settings;
    this.#requests = new WindowCounter(windowMillis);
    this.#retries = new WindowCounter(windowMillis);
  }

  recordRequest(nowMillis: number): void {
    this.#requests.add(1, nowMillis);
  }

  /**
   * Takes one retry; returns false if this entry's part is spent. `nowMillis`
   * counts from the start of the process; `entries` is the number of all known
   * entries, live or not, including this one, or Infinity while unknown.
   */
  spend(nowMillis: number, options: { entries: number }): boolean {
    const { ratio, allowance, windowMillis } = this.#settings();
    // A previous incarnation of this entry may have spent its allowance in this window.
    const isFirstWindow = nowMillis < windowMillis;
    const share = ratio * this.#requests.read(nowMillis) +
      (isFirstWindow ? 0 : allowance / Math.max(1, options.entries));
    if (this.#retries.read(nowMillis) + 1 > share * SAFETY_FACTOR) return false;
    this.#retries.add(1, nowMillis);
    return true;
  }
}
