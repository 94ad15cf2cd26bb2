/**
 * Meters moved requests at one instance, so that a move stays below its cap
 * even where the chosen blocks carry more traffic than others. Counts decay,
 * so the cap holds over the recent past and not only in the long run.
 */

/** Counts are halved beyond this, which keeps the window recent. */
const maxCounted = 2000;

interface Count {
  moved: number;
  total: number;
}

/** Counts per move. */
export class MoveShareLimiter {
  readonly #counts = new Map<string, Count>();

  /** Counts one request of the moved data centre. True where it may move. */
  admit(
    move: string,
    capShare: number,
    options: { selected: boolean },
  ): boolean {
    const count = this.#counts.get(move) ?? { moved: 0, total: 0 };
    this.#counts.set(move, count);
    count.total++;
    const moves = options.selected &&
      count.moved + 1 <= capShare * count.total;
    if (moves) count.moved++;
    if (count.total >= maxCounted) {
      count.total /= 2;
      count.moved /= 2;
    }
    return moves;
  }

  /** Moved share so far. */
  movedShare(move: string): number {
    const count = this.#counts.get(move);
    return count === undefined || count.total === 0
      ? 0
      : count.moved / count.total;
  }

  /** Forgets moves that the configuration no longer names. */
  keepOnly(moves: ReadonlySet<string>): void {
    for (const id of this.#counts.keys()) {
      if (!moves.has(id)) this.#counts.delete(id);
    }
  }
}
