/**
 * Registry of evacuated data centres. Rows are versioned; an older row never
 * replaces a newer one, and an evacuation that a snapshot lacks has ended.
 *
 * A store that was restored from a copy may lack an evacuation or list one that
 * has ended. What it says against the known state is held back for a while, in
 * which the operator writes again what was lost.
 */
import { eraOf } from "./state_version.ts";
import type { StateRow } from "./steering_config.ts";

/** A row that begins or ends an evacuation. */
export type EvacuationRow = StateRow & { kind: "evacuation" };

/**
 * Effect of a row: `begun` or `ended`, `none` if the row confirms what holds,
 * `held` for a restored row that contradicts it, `stale` for one that is not newer.
 */
export type EvacuationChange = "begun" | "ended" | "none" | "held" | "stale";

/** A row and its effect. */
export interface AppliedEvacuation {
  row: EvacuationRow;
  change: EvacuationChange;
}

/** How long restored rows that contradict the known state are held back. */
export const RESTORED_EVACUATION_HOLD_MILLIS = 2000;

interface HeldRow {
  row: EvacuationRow;
  untilMillis: number;
}

/** Evacuations by data centre. */
export class EvacuationRegistry {
  readonly #known = new Map<string, { version: number; active: boolean }>();
  readonly #held = new Map<string, HeldRow>();
  #snapshotVersion = 0;

  isActive(dataCentre: string): boolean {
    return this.#known.get(dataCentre)?.active ?? false;
  }

  /** Applies one row and returns its effect. */
  apply(row: EvacuationRow, nowMillis: number): EvacuationChange {
    const known = this.#known.get(row.dataCentre);
    // An evacuation that a newer snapshot lacks had ended by then.
    const newest = known?.version ?? this.#snapshotVersion;
    if (row.version <= newest) return "stale";
    // Later rows of the same era are changes, not part of the copy.
    const isInCopy = eraOf(row.version) > eraOf(this.#snapshotVersion);
    if (isInCopy && known !== undefined && known.active !== row.active) {
      const untilMillis = nowMillis + RESTORED_EVACUATION_HOLD_MILLIS;
      this.#held.set(row.dataCentre, { row, untilMillis });
      return "held";
    }
    return this.#set(row);
  }

  /** Ends the evacuations that a snapshot doesn't list; `rows` were applied before. */
  retain(
    rows: readonly StateRow[],
    options: { version: number; nowMillis: number },
  ): AppliedEvacuation[] {
    const listed = new Set<string>();
    for (const row of rows) {
      if (row.kind === "evacuation" && row.active) listed.add(row.dataCentre);
    }
    const applied: AppliedEvacuation[] = [];
    for (const [dataCentre, known] of this.#known) {
      if (!known.active || listed.has(dataCentre)) continue;
      if (known.version > options.version) continue;
      const row: EvacuationRow = {
        kind: "evacuation",
        // Newer than the snapshot's rows, older than any later row: the store's
        // versions are whole numbers.
        version: options.version + 0.5,
        dataCentre,
        active: false,
      };
      applied.push({ row, change: this.apply(row, options.nowMillis) });
    }
    this.#snapshotVersion = Math.max(this.#snapshotVersion, options.version);
    return applied;
  }

  /** Applies the rows that were held back long enough. */
  expire(nowMillis: number): AppliedEvacuation[] {
    return [...this.#held.values()]
      .filter(({ untilMillis }) => nowMillis >= untilMillis)
      .map(({ row }) => ({ row, change: this.#set(row) }));
  }

  #set(row: EvacuationRow): "begun" | "ended" | "none" {
    const wasActive = this.isActive(row.dataCentre);
    this.#held.delete(row.dataCentre);
    this.#known.set(row.dataCentre, {
      version: row.version,
      active: row.active,
    });
    if (wasActive === row.active) return "none";
    return row.active ? "begun" : "ended";
  }
}
