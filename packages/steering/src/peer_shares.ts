/**
 * Remote shares (see `remote_share.ts`) that the other entries of a region
 * report. Each entry measures a slightly different load; without a common share
 * the entries would compute different homes for the same objects.
 */

interface ShareReport {
  shares: ReadonlyMap<string, number>;
  untilMillis: number;
}

/** Latest reported shares, by reporting entry and service. */
export class PeerShares {
  readonly #reports = new Map<string, ShareReport>();

  /** Replaces the shares reported by `source`; they expire at `untilMillis`. */
  setShares(
    source: string,
    shares: ReadonlyMap<string, number>,
    untilMillis: number,
  ): void {
    this.#reports.set(source, { shares, untilMillis });
  }

  /** Mean over unexpired reports; undefined if none names the service. */
  mean(service: string, nowMillis: number): number | undefined {
    let sum = 0;
    let count = 0;
    for (const [source, { shares, untilMillis }] of this.#reports) {
      if (untilMillis <= nowMillis) {
        this.#reports.delete(source);
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
