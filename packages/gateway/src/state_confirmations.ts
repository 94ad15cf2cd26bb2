/**
 * What the store confirmed to an entry, as it tells the others: they have to ask the
 * store themselves only while nobody else heard of it.
 */
import { StateAge, STORE_SOURCE } from "@bamboolane/steering/state_age";
import type { Confirmations, LatestRows, RowVersions } from "./latest_rows.ts";
import {
  FOLLOWED_TABLES,
  type FollowedTable,
  StateTable,
} from "./state_store.ts";
import { type Clocks, SuspendedTime } from "./suspended_time.ts";

/** Age from which a confirmation is not told to others any more: each has newer ones. */
const MAX_TOLD_AGE_MILLIS = 5000;

/** Throws unless confirmations of another entry consist of numbers. */
export function checkConfirmations(confirmations: Confirmations = {}): void {
  for (const table of FOLLOWED_TABLES) {
    const confirmation = confirmations[table];
    if (confirmation === undefined) continue;
    const { completeTo, changedAt, ageMillis } = confirmation;
    if (![completeTo, changedAt, ageMillis].every(Number.isFinite)) {
      throw new Error(`an unreadable confirmation of ${table}`);
    }
  }
}

/** Ages of an entry's tables, and the exchange of confirmations with other entries. */
export class StateConfirmations {
  readonly #rows: LatestRows;
  readonly #ages = {
    [StateTable.operator]: new StateAge(),
    [StateTable.targets]: new StateAge(),
  };

  readonly #suspended: SuspendedTime;

  constructor(rows: LatestRows, clocks?: Clocks) {
    this.#rows = rows;
    this.#suspended = new SuspendedTime(clocks);
  }

  age(table: FollowedTable): StateAge {
    this.#addSuspendedTime();
    return this.#ages[table];
  }

  #addSuspendedTime(): void {
    const millis = this.#suspended.takeMillis();
    if (millis === 0) return;
    for (const table of FOLLOWED_TABLES) this.#ages[table].add(millis);
  }

  /** Age of a table in whole milliseconds, for the log; undefined if it is not known. */
  loggedAgeMillis(table: FollowedTable, nowMillis: number): number | undefined {
    const millis = this.age(table).millis(nowMillis);
    return millis === Infinity ? undefined : Math.round(millis);
  }

  /** Records an answer of the store. */
  confirmByStore(
    table: FollowedTable,
    answer: { version: number; answeredAtMillis: number },
  ): void {
    this.#addSuspendedTime();
    this.#rows.recordComplete(versionsOf(table, answer.version));
    this.#ages[table].confirm(answer.answeredAtMillis, STORE_SOURCE);
  }

  /** What the store confirmed to this entry, for the others. */
  own(nowMillis: number): Confirmations {
    this.#addSuspendedTime();
    const confirmations: Confirmations = {};
    FOLLOWED_TABLES.forEach((table, i) => {
      const ageMillis = this.#ages[table].millisByStore(nowMillis);
      if (ageMillis > MAX_TOLD_AGE_MILLIS) return;
      confirmations[table] = {
        completeTo: this.#rows.completeTo[i],
        changedAt: this.#rows.changedAt[i],
        ageMillis: Math.round(ageMillis),
      };
    });
    return confirmations;
  }

  /** True if this entry has all changes that the store confirmed to another one. */
  covers(confirmations: Confirmations = {}): boolean {
    return FOLLOWED_TABLES.every((table, i) =>
      this.#rows.completeTo[i] >= (confirmations[table]?.changedAt ?? 0)
    );
  }

  /** Takes over what the store confirmed to another entry, as far as this one has its state. */
  takeOver(
    confirmations: Confirmations = {},
    options: { source: string; nowMillis: number },
  ): void {
    this.#addSuspendedTime();
    FOLLOWED_TABLES.forEach((table, i) => {
      const confirmation = confirmations[table];
      if (confirmation === undefined) return;
      if (this.#rows.completeTo[i] < confirmation.changedAt) return;
      this.#rows.recordComplete(versionsOf(table, confirmation.completeTo));
      this.#ages[table].confirm(
        options.nowMillis - Math.max(0, confirmation.ageMillis),
        options.source,
      );
    });
  }
}

function versionsOf(table: FollowedTable, version: number): RowVersions {
  return table === StateTable.operator ? [version, 0] : [0, version];
}
