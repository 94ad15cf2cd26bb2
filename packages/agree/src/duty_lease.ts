/**
 * A fenced lease on a duty, in the platform's table. No clocks are compared:
 * a holder counts from before it asked, a taker from when it first saw the
 * row unchanged. Writes done under the lease name its row version, so a
 * holder that was paused past its lease can't change anything.
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

/** Where this instance stands with a duty. */
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

interface Seen {
  version: number;
  atMillis: number;
}

/** One instance's part in the lease of one duty. */
export class DutyLease {
  readonly #options: DutyLeaseOptions;
  readonly #key: string;
  #seen: Seen | undefined;
  #status: LeaseStatus = { kind: "unknown" };

  constructor(options: DutyLeaseOptions) {
    this.#options = options;
    this.#key = `lease/${options.duty}`;
  }

  /** The lease, if it is held at this moment. Ask right before each write. */
  current(): LeaseStatus {
    const now = this.#options.clock.nowMillis();
    if (this.#status.kind === "held" && now >= this.#status.untilMillis) {
      this.#status = { kind: "unknown" };
    }
    return this.#status;
  }

  /** Renews, takes or watches the lease. Call at a third of its length. */
  async renewOrAcquire(): Promise<LeaseStatus> {
    try {
      await this.#tend();
    } catch (error) {
      if (!(error instanceof StoreUncertainError)) throw error;
    }
    return this.current();
  }

  /** Gives the lease up, so that another can take it at once. */
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

  async #tend(): Promise<void> {
    const { platform, clock, leaseMillis } = this.#options;
    const askedAtMillis = clock.nowMillis();
    const [row] = await platform.table.read([this.#key]);
    const value = row.value as LeaseValue | undefined;
    if (value !== undefined && !this.#isOwn(value)) {
      if (this.#seen?.version !== row.version) {
        this.#seen = { version: row.version, atMillis: clock.nowMillis() };
      }
      this.#status = { kind: "other", holder: value.holder };
      if (clock.nowMillis() - this.#seen.atMillis < leaseMillis) return;
    }
    await this.#write(row.version, (value?.term ?? 0) + 1, askedAtMillis);
  }

  async #write(
    version: number,
    term: number,
    askedAtMillis: number,
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
      untilMillis: askedAtMillis + leaseMillis,
      check: { key: this.#key, expectVersion: result.versions[0] },
    };
  }

  #isOwn(value: LeaseValue): boolean {
    return value.holder === this.#options.holder &&
      value.incarnation === this.#options.incarnation;
  }
}
