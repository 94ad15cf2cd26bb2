/**
 * Request limit of one target: a target in need names in its answers how many
 * requests per second it takes from all entries together. The limit holds until
 * an answer without one, so the latest answer decides.
 */

/** A limit that appeared, changed or ended; undefined stands for no limit. */
export interface LimitChange {
  fromPerSecond: number | undefined;
  toPerSecond: number | undefined;
}

/** The limit of one target as its latest answer stated it. */
export class RequestLimit {
  #perSecond: number | undefined;

  /** Requests per second from all entries together; undefined without a limit. */
  get perSecond(): number | undefined {
    return this.#perSecond;
  }

  /**
   * Records what an answer stated: a limit, or undefined if it named none.
   * Returns the change, if any.
   */
  observe(perSecond: number | undefined): LimitChange | undefined {
    const fromPerSecond = this.#perSecond;
    this.#perSecond = perSecond;
    return fromPerSecond === perSecond
      ? undefined
      : { fromPerSecond, toPerSecond: perSecond };
  }
}
