/**
 * Latest version of each row that the store published, for entries that fetch
 * from this one instead of the store. Removals are kept for a while, so that an
 * entry that is slightly behind gets only what changed.
 */
import type { StateRow } from "@bamboolane/steering/steering_config";

/** Newest row versions of the operator table and the targets table. */
export type RowVersions = readonly [operator: number, targets: number];

/** Rows that one entry sends to another; field names are the wire format. */
export interface RowDelta {
  rows: StateRow[];
  /** True if the rows are complete: what they don't list was removed. */
  whole: boolean;
  versions: RowVersions;
}

/** How long removals are kept; an entry that is further behind gets all rows. */
const REMOVAL_RETENTION_MILLIS = 30_000;

interface StoredRow {
  row: StateRow;
  /** When the removal is discarded; Infinity for rows that exist. */
  discardAtMillis: number;
}

/** Latest rows by kind and id. */
export class LatestRows {
  readonly #rows = new Map<string, StoredRow>();
  #operator = 0;
  #targets = 0;
  /** Newest version of a discarded removal; entries behind it need all rows. */
  #discardedVersion = 0;

  get versions(): RowVersions {
    return [this.#operator, this.#targets];
  }

  /** Stores a row, which replaces its predecessor. */
  set(row: StateRow, nowMillis: number): void {
    const removed = row.kind === "target" && row.record === undefined;
    this.#rows.set(keyOf(row), {
      row,
      discardAtMillis: removed
        ? nowMillis + REMOVAL_RETENTION_MILLIS
        : Infinity,
    });
    if (row.kind === "target") {
      this.#targets = Math.max(this.#targets, row.version);
    } else this.#operator = Math.max(this.#operator, row.version);
  }

  /** Rows that are newer than the versions of another entry. */
  changesSince([operator, targets]: RowVersions): RowDelta {
    const whole = operator === 0 || targets < this.#discardedVersion;
    const rows: StateRow[] = [];
    for (const { row } of this.#rows.values()) {
      const known = row.kind === "target" ? targets : operator;
      if (whole || row.version > known) rows.push(row);
    }
    return { rows, whole, versions: this.versions };
  }

  /** Discards old removals. */
  removeExpired(nowMillis: number): void {
    for (const [key, { row, discardAtMillis }] of this.#rows) {
      if (nowMillis < discardAtMillis) continue;
      this.#rows.delete(key);
      this.#discardedVersion = Math.max(this.#discardedVersion, row.version);
    }
  }
}

function keyOf(row: StateRow): string {
  switch (row.kind) {
    case "config":
      return "config";
    case "evacuation":
      return `evacuation/${row.dataCentre}`;
    case "target":
    case "entry":
      return `${row.kind}/${row.id}`;
  }
}
