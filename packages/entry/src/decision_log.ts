/**
 * Keeps recent routing decisions in memory, so that `explain` can return the
 * reasons that were logged.
 */
import type { RouteDecision } from "./router.ts";

const MAX_REQUESTS = 4096;

/** Decisions of the most recent requests, by request id. */
export class DecisionLog {
  readonly #decisions = new Map<string, RouteDecision[]>();

  add(decision: RouteDecision): void {
    const known = this.#decisions.get(decision.request);
    if (known) {
      known.push(decision);
      return;
    }
    if (this.#decisions.size >= MAX_REQUESTS) {
      this.#decisions.delete(this.#decisions.keys().next().value as string);
    }
    this.#decisions.set(decision.request, [decision]);
  }

  /** Decisions on one request, oldest first; empty if it is not known. */
  find(request: string): RouteDecision[] {
    return this.#decisions.get(request) ?? [];
  }
}
