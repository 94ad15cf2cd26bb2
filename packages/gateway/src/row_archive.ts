/**
 * The newest row of everything that the store published, for entries that ask
 * this one instead of the store. Removals are kept for a while, so that an
 * entry that is a little behind gets only what changed.
 */
import type { StateRow } from "@bamboolane/steering/steering_config";

/** Newest row versions of the operator's and the targets' table. */
export type RowVersions = readonly [operator: number, targets: number];

/** What one entry hands to another. */
export interface RowDelta {
  rows: StateRow[];
  /** True where the rows are everything: what they don't list is gone. */
  whole: boolean;
  versions: RowVersions;
}

/** Removals are handed out this long; an entry that is further behind gets everything. */
const removalMemoryMillis = 30_000;

interface Kept {
  row: StateRow;
  /** When the removal may be forgotten; Infinity for rows that exist. */
  forgetAtMillis: number;
}

/** Rows by what they are about. */
export class RowArchive {
  readonly #rows = new Map<string, Kept>();
  #operator = 0;
  #targets = 0;
  #forgottenVersion = 0;

  get versions(): RowVersions {
    return [this.#operator, this.#targets];
  }

  /** Keeps a row that replaced its predecessor. */
  set(row: StateRow, nowMillis: number): void {
    const removed = row.kind === "target" && row.record === undefined;
    this.#rows.set(keyOf(row), {
      row,
      forgetAtMillis: removed ? nowMillis + removalMemoryMillis : Infinity,
    });
    if (row.kind === "target") {
      this.#targets = Math.max(this.#targets, row.version);
    } else this.#operator = Math.max(this.#operator, row.version);
  }

  /** Rows that are newer than what another entry has. */
  after([operator, targets]: RowVersions): RowDelta {
    const whole = operator === 0 || targets < this.#forgottenVersion;
    const rows: StateRow[] = [];
    for (const { row } of this.#rows.values()) {
      const known = row.kind === "target" ? targets : operator;
      if (whole || row.version > known) rows.push(row);
    }
    return { rows, whole, versions: this.versions };
  }

  /** Forgets old removals. */
  tidy(nowMillis: number): void {
    for (const [key, { row, forgetAtMillis }] of this.#rows) {
      if (nowMillis < forgetAtMillis) continue;
      this.#rows.delete(key);
      this.#forgottenVersion = Math.max(this.#forgottenVersion, row.version);
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
