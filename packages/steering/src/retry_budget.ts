/**
 * An entry's part of the fleet's retry budget for one service. It answers
 * retry storms: when many targets fail at once, repeats stay a bounded share
 * of first sends over any window. The share of requests is earned by this
 * entry's own sends; the fixed allowance is divided by all known entries, also
 * the silent ones, so that the sum over the fleet holds during a partition.
 */
import { WindowCounter } from "./window_counter.ts";

/** The fleet-wide budget. */
export interface RetryBudgetTerms {
  /** Repeats for each first send. */
  ratio: number;
  /** Repeats beyond the ratio, for all entries together. */
  allowance: number;
  windowMillis: number;
}

/** Part of the budget that is used: entries see each other's number late. */
const safetyShare = 0.75;

/** Counts first sends and repeats of one service at one entry. */
export class RetryBudget {
  readonly #terms: () => RetryBudgetTerms;
  readonly #requests: WindowCounter;
  readonly #repeats: WindowCounter;

  /** The terms may change; the window is that of the start. */
  constructor(terms: () => RetryBudgetTerms) {
    const { windowMillis } = terms();
    this.#terms = terms;
    this.#requests = new WindowCounter(windowMillis);
    this.#repeats = new WindowCounter(windowMillis);
  }

  recordRequest(nowMillis: number): void {
    this.#requests.add(1, nowMillis);
  }

  /**
   * Takes one repeat; false where this entry's part is spent. `nowMillis`
   * counts from the start of the process.
   */
  spend(nowMillis: number, options: { entries: number }): boolean {
    const { ratio, allowance, windowMillis } = this.#terms();
    // An earlier life of this process may have used its part of the window.
    const isYoung = nowMillis < windowMillis;
    const share = ratio * this.#requests.read(nowMillis) +
      (isYoung ? 0 : allowance / Math.max(1, options.entries));
    if (this.#repeats.read(nowMillis) + 1 > share * safetyShare) return false;
    this.#repeats.add(1, nowMillis);
    return true;
  }
}
