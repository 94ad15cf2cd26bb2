/**
 * Cancellation within an entry. An AbortSignal satisfies `CancelSignal`. On the
 * request path `Cancellation` is used, which costs a fraction of an
 * AbortController.
 */

/** Signals that a result is no longer needed. */
export interface CancelSignal {
  readonly aborted: boolean;
  addEventListener(
    type: "abort",
    listener: () => void,
    options?: { once?: boolean },
  ): void;
  removeEventListener(type: "abort", listener: () => void): void;
}

/** A signal that can be aborted once. Listeners added after the abort are not called. */
export class Cancellation implements CancelSignal {
  readonly #listeners = new Set<() => void>();
  #aborted = false;

  get aborted(): boolean {
    return this.#aborted;
  }

  get signal(): CancelSignal {
    return this;
  }

  addEventListener(_type: "abort", listener: () => void): void {
    this.#listeners.add(listener);
  }

  removeEventListener(_type: "abort", listener: () => void): void {
    this.#listeners.delete(listener);
  }

  abort(): void {
    if (this.#aborted) return;
    this.#aborted = true;
    const listeners = [...this.#listeners];
    this.#listeners.clear();
    for (const listener of listeners) listener();
  }
}
