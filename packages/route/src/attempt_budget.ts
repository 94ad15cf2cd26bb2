/**
 * Limits extra attempts (hedges, retries) to a part of the first attempts.
 */

/** Largest number of unused extra attempts that are kept. */
const maxSaved = 20;

/** A token bucket that fills with each first attempt. */
export class AttemptBudget {
  #tokens: number;

  /** `initial` lets a quiet service make a few extra attempts at once. */
  constructor(options: { initialTokens: number }) {
    this.#tokens = options.initialTokens;
  }

  /** Adds the share that one first attempt earns. */
  earn(share: number): void {
    this.#tokens = Math.min(maxSaved, this.#tokens + share);
  }

  /** Takes one extra attempt; false where the budget is spent. */
  spend(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
