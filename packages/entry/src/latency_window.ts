/**
 * Quantiles over a window of recent durations, for the hedge delay.
 */

const windowSize = 256;
const refreshEvery = 32;
const minSamples = 32;

/** The last durations of one pool's interactive requests. */
export class LatencyWindow {
  readonly #samples: number[] = [];
  #next = 0;
  #sinceRefresh = 0;
  #sorted: number[] = [];

  /** Unit: milliseconds. */
  observe(durationMillis: number): void {
    this.#samples[this.#next] = durationMillis;
    this.#next = (this.#next + 1) % windowSize;
    if (++this.#sinceRefresh < refreshEvery) return;
    this.#sinceRefresh = 0;
    this.#sorted = [...this.#samples].sort((a, b) => a - b);
  }

  /** The quantile, or undefined while there are too few samples. */
  quantile(share: number): number | undefined {
    if (this.#sorted.length < minSamples) return undefined;
    return this.#sorted[Math.floor((this.#sorted.length - 1) * share)];
  }
}
