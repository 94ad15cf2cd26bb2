/**
 * Splits a route's requests between services by weight. Smooth weighted round
 * robin keeps each share exact over short spans whatever the load; a service
 * short of capacity doesn't give up its share to another.
 */
import type { RoutePart } from "./steering_config.ts";

/** Assigns the requests of one route to services. */
export class WeightedRoundRobin {
  readonly #parts: readonly RoutePart[];
  readonly #currentWeights: number[];
  readonly #totalWeight: number;

  constructor(parts: readonly RoutePart[]) {
    this.#parts = parts;
    this.#currentWeights = parts.map(() => 0);
    this.#totalWeight = parts.reduce((sum, part) => sum + part.weight, 0);
  }

  /**
   * Returns the service for the next request. A single part gets all requests
   * whatever its weight; otherwise undefined if all weights are zero.
   */
  next(): string | undefined {
    if (this.#parts.length === 1) return this.#parts[0].service;
    if (this.#totalWeight <= 0) return undefined;
    let best = 0;
    for (let i = 0; i < this.#parts.length; i++) {
      this.#currentWeights[i] += this.#parts[i].weight;
      if (this.#currentWeights[i] > this.#currentWeights[best]) best = i;
    }
    this.#currentWeights[best] -= this.#totalWeight;
    return this.#parts[best].service;
  }
}
