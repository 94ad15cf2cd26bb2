/**
 * Registry of all targets known to one entry, by service. Rows are versioned;
 * an older row never replaces a newer one.
 *
 * A record that disappears right after an outage of the store may have expired
 * there while its target is still running. Such a target counts as lapsed and
 * stays usable for a grace period. At any other time a missing record means that
 * the target no longer exists.
 */
import type { TargetRecord } from "./steering_config.ts";
import { TargetState } from "./target_state.ts";

/** Grace period of lapsed targets: they register again within this time after an outage. */
export const LAPSE_GRACE_MILLIS = 2000;

/**
 * Effect of a row: `changed` if the target began or stopped draining,
 * `replaced` for a new incarnation, `none` for a newer row without a relevant
 * change, `stale` for a row that is not newer.
 */
export type TargetChange =
  | "added"
  | "changed"
  | "replaced"
  | "removed"
  | "lapsed"
  | "none"
  | "stale";

/** Targets by id and by service. */
export class TargetRegistry {
  readonly #targets = new Map<string, TargetState>();
  readonly #byService = new Map<string, TargetState[]>();
  /** Version of the newest snapshot: what it didn't list had been removed by then. */
  #snapshotVersion = 0;
  /** Removals since that snapshot. */
  readonly #removedAtVersion = new Map<string, number>();
  /** Ids of targets whose record is missing, with the end of their grace period. */
  readonly #lapsed = new Map<string, number>();
  #complete = false;

  /** Applies one row and returns its effect. */
  apply(
    row: { id: string; version: number; record: TargetRecord | undefined },
    options: { nowMillis: number; storeRecoveredAtMillis: number },
  ): TargetChange {
    const known = this.#targets.get(row.id);
    const newest = known?.version ?? this.#removedAtVersion.get(row.id) ??
      this.#snapshotVersion;
    if (row.version <= newest) return "stale";
    if (row.record === undefined) {
      return this.#drop(row, known, options);
    }
    this.#lapsed.delete(row.id);
    this.#removedAtVersion.delete(row.id);
    if (known === undefined) {
      this.#add(row.record, row.version, options.nowMillis);
      return "added";
    }
    if (!isSameIncarnation(known.record, row.record)) {
      this.#delete(row.id);
      this.#add(row.record, row.version, options.nowMillis);
      return "replaced";
    }
    const before = known.record;
    known.update(row.record, {
      version: row.version,
      nowMillis: options.nowMillis,
    });
    return before.draining === row.record.draining ? "none" : "changed";
  }

  /**
   * Removes the targets that a snapshot doesn't list, or marks them as lapsed.
   * Targets with a row newer than the snapshot stay. Returns the ids of the
   * removed and newly lapsed targets.
   */
  retain(
    ids: ReadonlySet<string>,
    options: {
      version: number;
      nowMillis: number;
      storeRecoveredAtMillis: number;
    },
  ): string[] {
    const missing: string[] = [];
    for (const [id, target] of this.#targets) {
      if (ids.has(id) || target.version > options.version) continue;
      if (this.#lapsed.has(id)) continue;
      missing.push(id);
      this.apply({ id, version: options.version, record: undefined }, options);
    }
    this.#complete = true;
    this.#recordSnapshot(options.version);
    return missing;
  }

  /** True once a snapshot has been applied. */
  get isComplete(): boolean {
    return this.#complete;
  }

  /** Removes lapsed targets whose grace period is over; returns their ids. */
  expire(nowMillis: number): string[] {
    const expired: string[] = [];
    for (const [id, untilMillis] of this.#lapsed) {
      if (nowMillis < untilMillis) continue;
      this.#lapsed.delete(id);
      this.#delete(id);
      expired.push(id);
    }
    return expired;
  }

  get(id: string): TargetState | undefined {
    return this.#targets.get(id);
  }

  forService(service: string): readonly TargetState[] {
    return this.#byService.get(service) ?? [];
  }

  all(): IterableIterator<TargetState> {
    return this.#targets.values();
  }

  get size(): number {
    return this.#targets.size;
  }

  #recordSnapshot(version: number): void {
    if (version <= this.#snapshotVersion) return;
    this.#snapshotVersion = version;
    for (const [id, removedAtVersion] of this.#removedAtVersion) {
      if (removedAtVersion <= version) this.#removedAtVersion.delete(id);
    }
  }

  #drop(
    row: { id: string; version: number },
    known: TargetState | undefined,
    options: { nowMillis: number; storeRecoveredAtMillis: number },
  ): "removed" | "lapsed" | "none" {
    this.#removedAtVersion.set(row.id, row.version);
    if (known === undefined) return "none";
    const graceEndMillis = options.storeRecoveredAtMillis + LAPSE_GRACE_MILLIS;
    if (options.nowMillis < graceEndMillis && !known.isLeaving()) {
      this.#lapsed.set(row.id, graceEndMillis);
      known.version = row.version;
      return "lapsed";
    }
    this.#delete(row.id);
    return "removed";
  }

  #add(record: TargetRecord, version: number, nowMillis: number): void {
    const target = new TargetState(record, { version, nowMillis });
    this.#targets.set(record.id, target);
    const list = this.#byService.get(record.service);
    if (list) list.push(target);
    else this.#byService.set(record.service, [target]);
  }

  #delete(id: string): void {
    const target = this.#targets.get(id);
    if (target === undefined) return;
    this.#targets.delete(id);
    const list = this.#byService.get(target.record.service) ?? [];
    const index = list.indexOf(target);
    if (index >= 0) list.splice(index, 1);
  }
}

function isSameIncarnation(a: TargetRecord, b: TargetRecord): boolean {
  return a.address === b.address && a.service === b.service &&
    a.bornMillis === b.bornMillis;
}
