/**
 * Learns from measured durations which routes run long. A low quantile of a
 * route's durations is compared with the threshold, so that a few slow targets
 * don't make a short route look long.
 */

const MAX_SAMPLES = 16;
const MIN_SAMPLES = 4;
const LOW_QUANTILE = 0.25;
/** A route counts as short again once its quantile is below this share of the threshold. */
const RETURN_SHARE = 0.5;

interface RouteSamples {
  /** Unit: milliseconds. */
  durations: number[];
  /** Index of the sample that is overwritten next. */
  next: number;
  long: boolean;
}

function lowQuantile(durations: number[]): number {
  const sorted = [...durations].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) * LOW_QUANTILE)];
}

/** Keeps recent durations of up to `maxRoutes` routes. */
export class LaneLearner {
  readonly #routes = new Map<string, RouteSamples>();
  readonly #maxRoutes: number;

  constructor(options: { maxRoutes: number }) {
    this.#maxRoutes = options.maxRoutes;
  }

  /**
   * Records the duration of a finished request. The route becomes long once its
   * quantile exceeds `bulkAfterMillis`. Unit of both: milliseconds.
   */
  observe(
    routeKey: string,
    durationMillis: number,
    options: { bulkAfterMillis: number },
  ): void {
    const route = this.#routes.get(routeKey) ?? this.#add(routeKey);
    route.durations[route.next] = durationMillis;
    route.next = (route.next + 1) % MAX_SAMPLES;
    if (route.durations.length < MIN_SAMPLES) return;
    const low = lowQuantile(route.durations);
    if (low > options.bulkAfterMillis) route.long = true;
    if (low < options.bulkAfterMillis * RETURN_SHARE) route.long = false;
  }

  /** True if the route has been learned to run long. */
  isLong(routeKey: string): boolean {
    return this.#routes.get(routeKey)?.long ?? false;
  }

  #add(routeKey: string): RouteSamples {
    if (this.#routes.size >= this.#maxRoutes) {
      const oldest = this.#routes.keys().next().value as string;
      this.#routes.delete(oldest);
    }
    const route: RouteSamples = { durations: [], next: 0, long: false };
    this.#routes.set(routeKey, route);
    return route;
  }
}
