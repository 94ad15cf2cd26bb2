/**
 * Meters what one entry sends to a cold target. It answers returns of a whole
 * data centre: targets without warm caches crash when the usual load arrives
 * at once. Only entries of the target's region send to it, each an equal part
 * of the rate, so that the sum over all entries holds without any message.
 */

/** Requests that one entry may send at once to a cold target. */
const burst = 1;

/** Token bucket of one cold target at one entry. */
export class WarmupLimiter {
  #tokens = burst;
  #updatedAtMillis = -Infinity;

  /** True where a request may be sent now, without taking it. */
  allows(nowMillis: number, options: { perSecond: number }): boolean {
    this.#refill(nowMillis, options.perSecond);
    return this.#tokens >= 1;
  }

  take(): void {
    this.#tokens -= 1;
  }

  #refill(nowMillis: number, perSecond: number): void {
    const elapsed = Math.max(0, nowMillis - this.#updatedAtMillis);
    this.#updatedAtMillis = nowMillis;
    this.#tokens = Math.min(
      burst,
      this.#tokens + Math.min(1e6, elapsed) * perSecond / 1000,
    );
  }
}
