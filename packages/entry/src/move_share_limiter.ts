/**
 * Limits the share of requests that a move redirects at one instance, so that
 * the move stays below its cap even if the selected blocks carry more traffic
 * than others. The counts decay, so that the cap holds over the recent past and
 * not only in the long run.
 */

/**
 * The counts are halved at this many requests, which keeps the window recent.
 */
const MAX_WINDOW_REQUESTS = 2000;

interface MoveCount {
  moved: number;
  total: number;
}

/** Counts moved requests by move, and admits them up to the cap. */
export class MoveShareLimiter {
  readonly #counts = new Map<string, MoveCount>();

  /**
   * Counts one request whose home is the move's source. True if the request may
   * be moved.
   */
  admit(
    move: string,
    capShare: number,
    options: { selected: boolean },
  ): boolean {
    const count = this.#counts.get(move) ?? { moved: 0, total: 0 };
    this.#counts.set(move, count);
    count.total++;
    const admitted = options.selected &&
      count.moved + 1 <= capShare * count.total;
    if (admitted) count.moved++;
    if (count.total >= MAX_WINDOW_REQUESTS) {
      count.total /= 2;
      count.moved /= 2;
    }
    return admitted;
  }

  /** Share of recent requests that were moved. */
  movedShare(move: string): number {
    const count = this.#counts.get(move);
    return count === undefined || count.total === 0
      ? 0
      : count.moved / count.total;
  }

  /** Removes the counts of all moves that are not in `moves`. */
  keepOnly(moves: ReadonlySet<string>): void {
    for (const id of this.#counts.keys()) {
      if (!moves.has(id)) this.#counts.delete(id);
    }
  }
}
