/**
 * Learns which routes run long from measured durations. A low quantile is
 * compared, so that a few slowed targets don't make a short route look long.
 */

const sampleCount = 16;
const minSamples = 4;
const quantile = 0.25;
/** A route turns short again below this part of the threshold. */
const returnShare = 0.5;

interface RouteSamples {
  /** Unit: milliseconds. */
  durations: number[];
  next: number;
  long: boolean;
}

function lowQuantile(durations: number[]): number {
  const sorted = [...durations].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) * quantile)];
}

/** Remembers recent durations of up to `maxRoutes` routes. */
export class LaneLearner {
  readonly #routes = new Map<string, RouteSamples>();
  readonly #maxRoutes: number;

  constructor(options: { maxRoutes: number }) {
    this.#maxRoutes = options.maxRoutes;
  }

  /** Records a finished or overstaying request. Unit: milliseconds. */
  observe(
    routeKey: string,
    durationMillis: number,
    options: { bulkAfterMillis: number },
  ): void {
    const route = this.#routes.get(routeKey) ?? this.#add(routeKey);
    route.durations[route.next] = durationMillis;
    route.next = (route.next + 1) % sampleCount;
    if (route.durations.length < minSamples) return;
    const low = lowQuantile(route.durations);
    if (low > options.bulkAfterMillis) route.long = true;
    if (low < options.bulkAfterMillis * returnShare) route.long = false;
  }

  /** Tells whether the route proved long. */
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
