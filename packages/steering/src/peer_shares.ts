/**
 * Remote shares (see `remote_share.ts`) that the other entries of a region
 * report. Each entry measures a slightly different load; without a common share
 * the entries would compute different homes for the same objects.
 */

interface ShareReport {
  shares: ReadonlyMap<string, number>;
  untilMillis: number;
}

/** Maximum number of shares of all reports together; the oldest ones make room. */
const MAX_SHARES = 20_000;

/** Latest reported shares, by reporting entry and service. */
export class PeerShares {
  readonly #reports = new Map<string, ShareReport>();
  /** Number of shares, and of reports, of which some are empty. */
  #size = 0;

  /** Replaces the shares reported by `source`; they expire at `untilMillis`. */
  setShares(
    source: string,
    shares: ReadonlyMap<string, number>,
    untilMillis: number,
  ): void {
    this.#remove(source);
    const size = shares.size + 1;
    if (size > MAX_SHARES) return;
    // The reports are in the order of their arrival.
    for (const oldest of this.#reports.keys()) {
      if (this.#size + size <= MAX_SHARES) break;
      this.#remove(oldest);
    }
    this.#size += size;
    this.#reports.set(source, { shares, untilMillis });
  }

  /** Mean over unexpired reports; undefined if none names the service. */
  mean(service: string, nowMillis: number): number | undefined {
    let sum = 0;
    let count = 0;
    for (const [source, { shares, untilMillis }] of this.#reports) {
      if (untilMillis <= nowMillis) {
        this.#remove(source);
        continue;
      }
      const share = shares.get(service);
      if (share === undefined) continue;
      sum += share;
      count++;
    }
    return count === 0 ? undefined : sum / count;
  }

  #remove(source: string): void {
    const report = this.#reports.get(source);
    if (report === undefined) return;
    this.#reports.delete(source);
    this.#size -= report.shares.size + 1;
  }
}
