/**
 * Quantiles over a sliding window of recent durations, for the hedge delay.
 */

const WINDOW_SAMPLES = 256;
/** The quantiles are updated each time this many samples were added. */
const REFRESH_INTERVAL_SAMPLES = 32;
const MIN_SAMPLES = 32;

/** The most recent durations of one pool's interactive requests. */
export class LatencyWindow {
  readonly #samples: number[] = [];
  #next = 0;
  #sinceRefresh = 0;
  /** The samples at the last update, in ascending order. */
  #sorted: number[] = [];

  /** Adds a sample. Unit: milliseconds. */
  observe(durationMillis: number): void {
    this.#samples[this.#next] = durationMillis;
    this.#next = (this.#next + 1) % WINDOW_SAMPLES;
    if (++this.#sinceRefresh < REFRESH_INTERVAL_SAMPLES) return;
    this.#sinceRefresh = 0;
    this.#sorted = [...this.#samples].sort((a, b) => a - b);
  }

  /**
   * The quantile in milliseconds; undefined while there are too few samples.
   */
  quantile(probability: number): number | undefined {
    if (this.#sorted.length < MIN_SAMPLES) return undefined;
    return this.#sorted[Math.floor((this.#sorted.length - 1) * probability)];
  }
}
