/**
 * Latest version of each row that the store published, for entries that fetch
 * from this one instead of the store. Removals are kept for a while, so that an
 * entry that is slightly behind gets only what changed.
 */
import type { StateRow } from "@bamboolane/steering/steering_config";
import type { FollowedTable } from "./state_store.ts";

/** Newest row versions of the operator table and the targets table. */
export type RowVersions = readonly [operator: number, targets: number];

/** What the store confirmed to an entry; field names are the wire format. */
export interface Confirmation {
  /** Version up to which the entry knows all changes. */
  completeTo: number;
  /** Version of the last of these changes: who is complete to it lacks none of them. */
  changedAt: number;
  /** Time since the store's answer was true. */
  ageMillis: number;
}

/** Confirmations by table; a table that the store did not confirm is left out. */
export type Confirmations = Partial<Record<FollowedTable, Confirmation>>;

/** What an entry knows, as it announces it to others. */
export interface KnownState {
  versions: RowVersions;
  /**
   * Configuration revision in force, if any. The store may have lost it in a restore,
   * so row versions alone don't tell who has the newest one.
   */
  revision?: number;
  /** What the store confirmed to the entry; entries of an older build send none. */
  confirmed?: Confirmations;
}

/** Rows that one entry sends to another; field names are the wire format. */
export interface RowDelta {
  rows: StateRow[];
  /** True if the rows are complete: what they don't list was removed. */
  whole: boolean;
  /** Newest versions of the sender's rows. */
  versions: RowVersions;
  /** Versions up to which the sender knows all changes: at least `versions`. */
  completeTo: RowVersions;
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
  /**
   * Versions before which removals may be missing here, since they were discarded
   * or came before a snapshot; entries behind them need all rows.
   */
  #removalsMissingBefore: RowVersions = [0, 0];
  /** Versions up to which all changes are known, besides those of the rows. */
  #completeTo: RowVersions = [0, 0];

  #generation = 0;

  /** Increases with each change of what {@link LatestRows.changesSince} returns. */
  get generation(): number {
    return this.#generation;
  }

  /** Newest versions of the rows; other entries that know older ones are behind. */
  get versions(): RowVersions {
    return [this.#operator, this.#targets];
  }

  /** Versions up to which all changes are known. */
  get completeTo(): RowVersions {
    return maxVersions(this.#completeTo, this.versions);
  }

  /**
   * Version of the last known change of each table, or of the snapshot that it came with:
   * who is complete to it lacks no change that is known here.
   */
  get changedAt(): RowVersions {
    return maxVersions(this.#removalsMissingBefore, this.versions);
  }

  /** Records that all changes up to `versions` are known. */
  recordComplete(versions: RowVersions): void {
    const [operator, targets] = this.#completeTo;
    if (versions[0] <= operator && versions[1] <= targets) return;
    this.#generation++;
    this.#completeTo = maxVersions(this.#completeTo, versions);
  }

  /** Records that the rows came from a snapshot, which lists no removals. */
  recordSnapshot(versions: RowVersions): void {
    this.recordComplete(versions);
    this.#generation++;
    this.#removalsMissingBefore = maxVersions(
      this.#removalsMissingBefore,
      versions,
    );
  }

  /** Stores a row, which replaces its predecessor. */
  set(row: StateRow, nowMillis: number): void {
    const removed = row.kind === "target" && row.record === undefined;
    this.#generation++;
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

  /**
   * Rows that are newer than the versions up to which another entry is complete, and
   * a configuration that is newer than its revision.
   */
  changesSince(
    [operator, targets]: RowVersions,
    revision = Infinity,
  ): RowDelta {
    const [operatorMissing, targetsMissing] = this.#removalsMissingBefore;
    const whole = operator === 0 || operator < operatorMissing ||
      targets < targetsMissing;
    const rows: StateRow[] = [];
    for (const { row } of this.#rows.values()) {
      const known = row.kind === "target" ? targets : operator;
      const isNewerConfig = row.kind === "config" &&
        row.config.revision > revision;
      if (whole || row.version > known || isNewerConfig) rows.push(row);
    }
    return {
      rows,
      whole,
      versions: this.versions,
      completeTo: this.completeTo,
    };
  }

  /** Discards old removals. */
  removeExpired(nowMillis: number): void {
    for (const [key, { row, discardAtMillis }] of this.#rows) {
      if (nowMillis < discardAtMillis) continue;
      this.#rows.delete(key);
      this.#generation++;
      this.#removalsMissingBefore = maxVersions(this.#removalsMissingBefore, [
        0,
        row.version,
      ]);
    }
  }
}

function maxVersions(a: RowVersions, b: RowVersions): RowVersions {
  return [Math.max(a[0], b[0]), Math.max(a[1], b[1])];
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
