/**
 * Requests of one service that wait at the entry for a free slot. Those that
 * can still meet their objective go first, the most urgent among them first;
 * the others take what room is left, oldest first.
 */

/** What the order depends on. */
export interface WaitingRequest {
  /** 0 is the most urgent. */
  priority: number;
  /** When the objective is missed, on the entry's clock. */
  objectiveAtMillis: number;
  arrivedAtMillis: number;
}

/** The line of one service. */
export class WaitQueue<T extends WaitingRequest> {
  #items: T[] = [];

  get length(): number {
    return this.#items.length;
  }

  add(item: T): void {
    this.#items.push(item);
  }

  /** The request that came first. */
  oldest(): T | undefined {
    return this.#items[0];
  }

  remove(item: T): boolean {
    const index = this.#items.indexOf(item);
    if (index < 0) return false;
    this.#items.splice(index, 1);
    return true;
  }

  /** Takes the next request out; `workMillis` is what it still needs. */
  take(nowMillis: number, options: { workMillis: number }): T | undefined {
    let best: T | undefined;
    for (const item of this.#items) {
      if (best === undefined || goesBefore(item, best)) best = item;
    }
    if (best !== undefined) this.remove(best);
    return best;

    function goesBefore(a: T, b: T): boolean {
      const finish = nowMillis + options.workMillis;
      const lateA = a.objectiveAtMillis < finish;
      const lateB = b.objectiveAtMillis < finish;
      if (lateA !== lateB) return lateB;
      if (a.priority !== b.priority) return a.priority < b.priority;
      if (lateA) return a.arrivedAtMillis < b.arrivedAtMillis;
      return a.objectiveAtMillis < b.objectiveAtMillis;
    }
  }
}
