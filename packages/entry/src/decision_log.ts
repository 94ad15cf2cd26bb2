/**
 * Remembers recent routing decisions, so that `explain` can give the reason
 * that was logged.
 */
import type { RouteDecision } from "./router.ts";

const maxDecisions = 4096;

/** The last decisions by request. */
export class DecisionLog {
  readonly #decisions = new Map<string, RouteDecision[]>();

  add(decision: RouteDecision): void {
    const known = this.#decisions.get(decision.request);
    if (known) {
      known.push(decision);
      return;
    }
    if (this.#decisions.size >= maxDecisions) {
      this.#decisions.delete(this.#decisions.keys().next().value as string);
    }
    this.#decisions.set(decision.request, [decision]);
  }

  /** Decisions of one request, oldest first. */
  find(request: string): RouteDecision[] {
    return this.#decisions.get(request) ?? [];
  }
}
