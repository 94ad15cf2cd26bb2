/**
 * Limits the rate at which one entry sends requests to one target: a cold target
 * would crash under its usual load, and a target in need names a limit. The
 * entries' rates add up to what the target takes from all of them together (see
 * `allocate_rate.ts`), so the total holds without coordination.
 */

/** The part of a target's rate that one entry may use. */
export interface RateShare {
  /** Requests per second; 0 for none, Infinity for a target without a limit. */
  perSecond: number;
  /** Requests that may be saved up and sent at once, 1 or more. */
  burst: number;
}

/** Token bucket for one target at one entry. */
export class RateLimiter {
  #tokens = 1;
  #updatedAtMillis = -Infinity;

  /**
   * Time from which a request may be sent: `nowMillis` if one may be sent now,
   * Infinity if the rate is 0. Takes no token.
   */
  readyAtMillis(nowMillis: number, { perSecond, burst }: RateShare): number {
    if (perSecond <= 0) return Infinity;
    if (perSecond === Infinity) return nowMillis;
    this.#refill(nowMillis, { perSecond, burst });
    const missing = 1 - this.#tokens;
    return missing <= 0 ? nowMillis : nowMillis + missing * 1000 / perSecond;
  }

  take(): void {
    this.#tokens -= 1;
  }

  #refill(nowMillis: number, { perSecond, burst }: RateShare): void {
    const elapsedMillis = nowMillis - this.#updatedAtMillis;
    this.#updatedAtMillis = nowMillis;
    // A bucket that is used for the first time holds its initial token.
    if (elapsedMillis === Infinity) return;
    this.#tokens = Math.min(
      burst,
      this.#tokens + Math.max(0, elapsedMillis) * perSecond / 1000,
    );
  }
}
