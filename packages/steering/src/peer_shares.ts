/**
 * What the entries of a region say of their shares of objects elsewhere. Each
 * entry sees a slightly different load; without a common share they would name
 * different homes for the same objects.
 */

interface Told {
  shares: ReadonlyMap<string, number>;
  untilMillis: number;
}

/** Shares by service, as the other entries told them. */
export class PeerShares {
  readonly #told = new Map<string, Told>();

  /** Replaces what `source` told; it counts until `untilMillis`. */
  setShares(
    source: string,
    shares: ReadonlyMap<string, number>,
    untilMillis: number,
  ): void {
    this.#told.set(source, { shares, untilMillis });
  }

  /** Mean over those that were heard lately; undefined where nobody told one. */
  mean(service: string, nowMillis: number): number | undefined {
    let sum = 0;
    let count = 0;
    for (const [source, { shares, untilMillis }] of this.#told) {
      if (untilMillis <= nowMillis) {
        this.#told.delete(source);
        continue;
      }
      const share = shares.get(service);
      if (share === undefined) continue;
      sum += share;
      count++;
    }
    return count === 0 ? undefined : sum / count;
  }
}
