/**
 * Splits a route's requests over services by weight. Smooth weighted round
 * robin keeps each share exact over short spans, whatever the load; a service
 * that is short of room doesn't lend its share to another.
 */
import type { RoutePart } from "./steering_config.ts";

/** Deals the requests of one route. */
export class WeightedRoundRobin {
  readonly #parts: readonly RoutePart[];
  readonly #credit: number[];
  readonly #total: number;

  constructor(parts: readonly RoutePart[]) {
    this.#parts = parts;
    this.#credit = parts.map(() => 0);
    this.#total = parts.reduce((sum, part) => sum + part.weight, 0);
  }

  /** The service that takes the next request; undefined without any weight. */
  next(): string | undefined {
    if (this.#parts.length === 1) return this.#parts[0].service;
    if (this.#total <= 0) return undefined;
    let best = 0;
    for (let i = 0; i < this.#parts.length; i++) {
      this.#credit[i] += this.#parts[i].weight;
      if (this.#credit[i] > this.#credit[best]) best = i;
    }
    this.#credit[best] -= this.#total;
    return this.#parts[best].service;
  }
}
