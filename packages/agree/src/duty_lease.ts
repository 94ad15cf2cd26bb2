/**
 * A fenced lease on a duty, stored in the platform's table. Clocks of different
 * instances are never compared: for the holder the lease starts when it sends
 * its request, for a contender when it first sees the row's current version, so
 * the lease ends earlier for the holder than for any contender. Writes under
 * the lease check its row version as a fencing token, so a holder that was
 * paused beyond its lease can't change anything.
 */
import {
  type Clock,
  type Platform,
  type RowCheck,
  StoreUncertainError,
} from "@bamboolane/platform/ports";

/** Value of a lease row. */
export interface LeaseValue {
  holder: string;
  incarnation: number;
  /** Counts renewals, so that each renewal changes the row. */
  term: number;
}

/**
 * State of the lease as known to this instance. If `held`, `untilMillis` is the
 * lease's end on this instance's clock, and `check` is the fencing token to add
 * to each write. `other` names the holder found in the row. `unknown` is the state
 * before the first read, after a conflict, and after the lease's end or release.
 */
export type LeaseStatus =
  | { kind: "held"; untilMillis: number; check: RowCheck }
  | { kind: "other"; holder: string }
  | { kind: "unknown" };

/** Options of {@link DutyLease}. */
export interface DutyLeaseOptions {
  duty: string;
  holder: string;
  incarnation: number;
  leaseMillis: number;
  platform: Platform;
  clock: Clock;
}

/** Version of another holder's row, and when this instance first saw it. */
interface ObservedRow {
  version: number;
  sinceMillis: number;
}

/** One instance's access to the lease of one duty. */
export class DutyLease {
  readonly #options: DutyLeaseOptions;
  readonly #key: string;
  #observed: ObservedRow | undefined;
  #status: LeaseStatus = { kind: "unknown" };

  constructor(options: DutyLeaseOptions) {
    this.#options = options;
    this.#key = `lease/${options.duty}`;
  }

  /** Current status; a lease past its end is not held. Call before each write. */
  current(): LeaseStatus {
    const now = this.#options.clock.nowMillis();
    if (this.#status.kind === "held" && now >= this.#status.untilMillis) {
      this.#status = { kind: "unknown" };
    }
    return this.#status;
  }

  /**
   * Renews the lease if held, acquires it if free or expired, and otherwise
   * observes it. Does not reject if the effect of a store call is unknown; the
   * status is then that of the last call that succeeded. Call at intervals of a
   * third of the lease duration.
   */
  async renewOrAcquire(): Promise<LeaseStatus> {
    try {
      await this.#renewOrAcquire();
    } catch (error) {
      if (!(error instanceof StoreUncertainError)) throw error;
    }
    return this.current();
  }

  /**
   * Releases the lease, so that another instance can acquire it at once. If the
   * write fails, the lease expires instead.
   */
  async release(): Promise<void> {
    const status = this.current();
    if (status.kind !== "held") return;
    this.#status = { kind: "unknown" };
    const { key, expectVersion } = status.check;
    await this.#options.platform.table.transact([{
      key,
      expectVersion,
      value: undefined,
    }])
      .catch(() => {});
  }

  async #renewOrAcquire(): Promise<void> {
    const { platform, clock, leaseMillis } = this.#options;
    const requestedAtMillis = clock.nowMillis();
    const [row] = await platform.table.read([this.#key]);
    const value = row.value as LeaseValue | undefined;
    if (value !== undefined && !this.#isOwn(value)) {
      if (this.#observed?.version !== row.version) {
        this.#observed = {
          version: row.version,
          sinceMillis: clock.nowMillis(),
        };
      }
      this.#status = { kind: "other", holder: value.holder };
      if (clock.nowMillis() - this.#observed.sinceMillis < leaseMillis) return;
    }
    await this.#writeLease(
      row.version,
      (value?.term ?? 0) + 1,
      requestedAtMillis,
    );
  }

  async #writeLease(
    version: number,
    term: number,
    requestedAtMillis: number,
  ): Promise<void> {
    const { holder, incarnation, platform, leaseMillis } = this.#options;
    const value: LeaseValue = { holder, incarnation, term };
    const result = await platform.table.transact([
      { key: this.#key, expectVersion: version, value },
    ]);
    if (result.kind === "conflict") {
      this.#status = { kind: "unknown" };
      return;
    }
    this.#status = {
      kind: "held",
      untilMillis: requestedAtMillis + leaseMillis,
      check: { key: this.#key, expectVersion: result.versions[0] },
    };
  }

  #isOwn(value: LeaseValue): boolean {
    return value.holder === this.#options.holder &&
      value.incarnation === this.#options.incarnation;
  }
}
