/**
 * Request limit of one target: a target in need names in its answers how many
 * requests per second it takes from all entries together. The limit holds until
 * an answer without one. Entries tell each other what the answers stated, so
 * that also those that send nothing to the target know when a limit begins or
 * ends; of several observations the newest counts.
 */

/** What an answer of the target stated. */
export interface LimitObservation {
  /** Requests per second from all entries together; undefined without a limit. */
  perSecond: number | undefined;
  observedAtMillis: number;
}

/** A limit that appeared, changed or ended; undefined stands for no limit. */
export interface LimitChange {
  fromPerSecond: number | undefined;
  toPerSecond: number | undefined;
}

/**
 * How long a change is announced to the other entries: several messages, also
 * to other regions, which get the fewest.
 */
const ANNOUNCE_MILLIS = 2500;

/** The limit of one target as its newest known answer stated it. */
export class RequestLimit {
  #latest: LimitObservation = {
    perSecond: undefined,
    observedAtMillis: -Infinity,
  };
  #announceUntilMillis = -Infinity;

  /** Requests per second from all entries together; undefined without a limit. */
  get perSecond(): number | undefined {
    return this.#latest.perSecond;
  }

  /** The newest observation. */
  get latest(): LimitObservation {
    return this.#latest;
  }

  /** True if a change was observed lately, or another entry doesn't know it. */
  isAnnounced(nowMillis: number): boolean {
    return nowMillis < this.#announceUntilMillis;
  }

  /** Applies an observation, unless a newer one is known; returns the change, if any. */
  observe(
    observation: LimitObservation,
    nowMillis: number,
  ): LimitChange | undefined {
    const before = this.#latest;
    const isChange = observation.perSecond !== before.perSecond;
    if (isChange) this.#announceUntilMillis = nowMillis + ANNOUNCE_MILLIS;
    // An older observation that differs shows that its sender is behind.
    if (observation.observedAtMillis < before.observedAtMillis) {
      return undefined;
    }
    this.#latest = observation;
    if (!isChange) return undefined;
    return {
      fromPerSecond: before.perSecond,
      toPerSecond: observation.perSecond,
    };
  }
}
