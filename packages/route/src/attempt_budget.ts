/**
 * Limits extra attempts (hedges and retries) to a share of the first attempts.
 */

/** Bucket size: unused extra attempts that are kept at most. */
const MAX_TOKENS = 20;

/** A token bucket that fills with each first attempt. */
export class AttemptBudget {
  #tokens: number;

  /** `initialTokens` lets a service with little traffic make a few extra attempts at once. */
  constructor(options: { initialTokens: number }) {
    this.#tokens = options.initialTokens;
  }

  /** Adds the share that one first attempt earns. */
  earn(share: number): void {
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + share);
  }

  /** Takes one extra attempt; returns false if the budget is spent. */
  spend(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
