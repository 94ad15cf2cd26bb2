/**
 * Queue of the requests of one service that wait at the entry for a free slot.
 * Requests that can still meet their objective go first, ordered by priority and
 * then by objective; late ones get the remaining capacity, ordered by priority
 * and then by arrival.
 */

/** Properties that determine a request's position. */
export interface WaitingRequest {
  /** 0 is the most urgent. */
  priority: number;
  /** Time at which the objective is missed, on the entry's clock. */
  objectiveAtMillis: number;
  arrivedAtMillis: number;
}

/** Queue of one service. */
export class WaitQueue<T extends WaitingRequest> {
  #items: T[] = [];

  get length(): number {
    return this.#items.length;
  }

  /** The queued requests in the order in which they were added. */
  [Symbol.iterator](): IterableIterator<T> {
    return this.#items[Symbol.iterator]();
  }

  add(item: T): void {
    this.#items.push(item);
  }

  /** Returns the request that was added first, without removing it. */
  oldest(): T | undefined {
    return this.#items[0];
  }

  remove(item: T): boolean {
    const index = this.#items.indexOf(item);
    if (index < 0) return false;
    this.#items.splice(index, 1);
    return true;
  }

  /** Removes and returns the next request; `workMillis` is the expected work time. */
  take(nowMillis: number, options: { workMillis: number }): T | undefined {
    let best: T | undefined;
    for (const item of this.#items) {
      if (best === undefined || precedes(item, best)) best = item;
    }
    if (best !== undefined) this.remove(best);
    return best;

    function precedes(a: T, b: T): boolean {
      const finishAtMillis = nowMillis + options.workMillis;
      const lateA = a.objectiveAtMillis < finishAtMillis;
      const lateB = b.objectiveAtMillis < finishAtMillis;
      if (lateA !== lateB) return lateB;
      if (a.priority !== b.priority) return a.priority < b.priority;
      if (lateA) return a.arrivedAtMillis < b.arrivedAtMillis;
      return a.objectiveAtMillis < b.objectiveAtMillis;
    }
  }
}
