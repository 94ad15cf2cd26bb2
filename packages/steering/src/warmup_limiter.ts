/**
 * Limits the rate at which one entry sends requests to a cold target. When a
 * whole data centre returns, its targets have empty caches and would crash if
 * the usual load arrived at once. Only entries of the target's region send to
 * it, at rates that add up to at most the target's rate (see
 * `allocate_warmup_rate.ts`), so the total holds without coordination.
 */

/** Bucket size: requests that one entry may send to a cold target in a burst. */
const BURST_REQUESTS = 1;

/** Token bucket for one cold target at one entry. */
export class WarmupLimiter {
  #tokens = BURST_REQUESTS;
  #updatedAtMillis = -Infinity;

  /** True if a request may be sent now. Takes no token. */
  allows(nowMillis: number, options: { perSecond: number }): boolean {
    this.#refill(nowMillis, options.perSecond);
    return this.#tokens >= 1;
  }

  take(): void {
    this.#tokens -= 1;
  }

  #refill(nowMillis: number, perSecond: number): void {
    // Infinite at the first call.
    const elapsedMillis = Math.max(0, nowMillis - this.#updatedAtMillis);
    this.#updatedAtMillis = nowMillis;
    this.#tokens = Math.min(
      BURST_REQUESTS,
      this.#tokens + Math.min(1e6, elapsedMillis) * perSecond / 1000,
    );
  }
}
