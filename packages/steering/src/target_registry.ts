/**
 * Registry of all targets known to one entry, by service. Rows are versioned;
 * an older row never replaces a newer one.
 *
 * A record that disappears right after an outage of the store may have expired
 * there while its target is still running. Such a target counts as lapsed and
 * stays usable for a grace period. At any other time a missing record means that
 * the target no longer exists.
 *
 * A store that was restored from a copy may list records that are older than the
 * known ones. Those of running targets are ignored, as targets count their
 * records. A target that is known to have ended is held back until the restored
 * store had the time to notice its end too.
 */
import { eraOf } from "./state_version.ts";
import type { TargetRecord } from "./steering_config.ts";
import { TargetState } from "./target_state.ts";

/** Grace period of lapsed targets: they register again within this time after an outage. */
export const LAPSE_GRACE_MILLIS = 2000;

/**
 * How long a record of an ended target is held back after a restore: a store
 * removes the records of silent targets within it.
 */
export const RESTORED_RECORD_HOLD_MILLIS = 5000;
/**
 * How long the end of an incarnation is remembered; exceeds the age of the copies
 * that a store is restored from.
 */
const ENDED_RETENTION_MILLIS = 60_000;
/**
 * How long a removal is remembered by its id, and then by its version alone; exceeds the
 * time in which rows of about the same version arrive.
 */
const REMOVAL_RETENTION_MILLIS = 60_000;

/**
 * Effect of a row: `changed` if the target began or stopped draining,
 * `replaced` for a new incarnation, `none` for a newer row without a relevant
 * change, `stale` for a row that is not newer, `outdated` for a restored row that
 * is older than the known record, `held` for a restored row of an ended target.
 */
export type TargetChange =
  | "added"
  | "changed"
  | "replaced"
  | "removed"
  | "lapsed"
  | "none"
  | "stale"
  | "outdated"
  | "held";

/** A row of the targets table. */
export interface TargetRow {
  id: string;
  version: number;
  /** Undefined for a removed or unreadable record. */
  record: TargetRecord | undefined;
}

/** What {@link TargetRegistry.expire} changed. */
export interface ExpiredTargets {
  /** Ids of lapsed targets whose grace period is over; they were removed. */
  removed: string[];
  /** Rows that are no longer held back; their targets were added. */
  released: TargetRow[];
}

/** Targets by id and by service. */
export class TargetRegistry {
  readonly #targets = new Map<string, TargetState>();
  readonly #byService = new Map<string, TargetState[]>();
  /**
   * Version of the newest snapshot, or of the newest removal that was forgotten: what
   * isn't known by then had been removed.
   */
  #completeVersion = 0;
  /** Removals since that version. */
  readonly #removals = new Map<
    string,
    { version: number; forgetAtMillis: number }
  >();
  /** Ids of targets whose record is missing, with the end of their grace period. */
  readonly #lapsed = new Map<string, number>();
  /** Last records of ended incarnations, by id, and whether they said that they leave. */
  readonly #ended = new Map<
    string,
    { record: TargetRecord; saidLeaving: boolean; forgetAtMillis: number }
  >();
  /** Restored rows of ended targets, by id, until they are believed. */
  readonly #held = new Map<string, { row: TargetRow; untilMillis: number }>();
  #complete = false;

  /** Applies one row and returns its effect. */
  apply(
    row: TargetRow,
    options: { nowMillis: number; storeRecoveredAtMillis: number },
  ): TargetChange {
    const known = this.#targets.get(row.id);
    const newest = known?.version ?? this.#removals.get(row.id)?.version ??
      this.#completeVersion;
    if (row.version <= newest) return "stale";
    this.#held.delete(row.id);
    if (row.record === undefined) {
      return this.#drop(row, known, options);
    }
    if (eraOf(row.version) > eraOf(newest)) {
      const effect = this.#applyOutdated(
        { ...row, record: row.record },
        options.nowMillis,
      );
      if (effect !== undefined) return effect;
    }
    this.#lapsed.delete(row.id);
    this.#removals.delete(row.id);
    if (known === undefined) {
      this.#add(row.record, row.version, options.nowMillis);
      return "added";
    }
    if (!isSameIncarnation(known.record, row.record)) {
      this.#delete(row.id, options.nowMillis);
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
    for (const [id, { row }] of this.#held) {
      if (!ids.has(id) && row.version <= options.version) this.#held.delete(id);
    }
    this.#complete = true;
    this.#recordSnapshot(options.version);
    return missing;
  }

  /** True once a snapshot has been applied. */
  get isComplete(): boolean {
    return this.#complete;
  }

  /** Ends grace periods and holds that are over. */
  expire(nowMillis: number): ExpiredTargets {
    const removed: string[] = [];
    for (const [id, untilMillis] of this.#lapsed) {
      if (nowMillis < untilMillis) continue;
      this.#lapsed.delete(id);
      this.#delete(id, nowMillis);
      removed.push(id);
    }
    const released: TargetRow[] = [];
    for (const [id, { row, untilMillis }] of this.#held) {
      if (nowMillis < untilMillis) continue;
      this.#held.delete(id);
      this.#removals.delete(id);
      this.#add(row.record as TargetRecord, row.version, nowMillis);
      released.push(row);
    }
    for (const [id, { forgetAtMillis }] of this.#ended) {
      if (nowMillis >= forgetAtMillis) this.#ended.delete(id);
    }
    this.#forgetRemovals(nowMillis);
    return { removed, released };
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
    if (version <= this.#completeVersion) return;
    this.#completeVersion = version;
    for (const [id, removal] of this.#removals) {
      if (removal.version <= version) this.#removals.delete(id);
    }
  }

  #recordRemoval(id: string, version: number, nowMillis: number): void {
    this.#removals.delete(id);
    this.#removals.set(id, {
      version,
      forgetAtMillis: nowMillis + REMOVAL_RETENTION_MILLIS,
    });
  }

  /** Forgets old removals; their rows stay stale because of their versions. */
  #forgetRemovals(nowMillis: number): void {
    for (const [id, { version, forgetAtMillis }] of this.#removals) {
      // They are in the order of their times.
      if (nowMillis < forgetAtMillis) return;
      this.#removals.delete(id);
      this.#completeVersion = Math.max(this.#completeVersion, version);
    }
  }

  /**
   * Keeps what is known if a restored row is older than it; returns undefined for a
   * row that says something new.
   */
  #applyOutdated(
    row: TargetRow & { record: TargetRecord },
    nowMillis: number,
  ): "outdated" | "held" | undefined {
    const { record } = row;
    const known = this.#targets.get(row.id);
    const ended = this.#ended.get(row.id)?.record;
    const isOfEnded = ended !== undefined && isSameIncarnation(ended, record) &&
      record.sequence <= ended.sequence;
    if (known === undefined) {
      if (!isOfEnded) return undefined;
      const untilMillis = nowMillis + RESTORED_RECORD_HOLD_MILLIS;
      this.#held.set(row.id, { row, untilMillis });
      this.#recordRemoval(row.id, row.version, nowMillis);
      return "held";
    }
    if (!isOfEnded && !isOutdated(record, known.record)) return undefined;
    this.#lapsed.delete(row.id);
    known.version = row.version;
    return "outdated";
  }

  #drop(
    row: { id: string; version: number },
    known: TargetState | undefined,
    options: { nowMillis: number; storeRecoveredAtMillis: number },
  ): "removed" | "lapsed" | "none" {
    this.#recordRemoval(row.id, row.version, options.nowMillis);
    if (known === undefined) return "none";
    const graceEndMillis = options.storeRecoveredAtMillis + LAPSE_GRACE_MILLIS;
    if (options.nowMillis < graceEndMillis && !known.isLeaving()) {
      this.#lapsed.set(row.id, graceEndMillis);
      known.version = row.version;
      return "lapsed";
    }
    this.#delete(row.id, options.nowMillis);
    return "removed";
  }

  #add(record: TargetRecord, version: number, nowMillis: number): void {
    const target = new TargetState(record, { version, nowMillis });
    const ended = this.#ended.get(record.id);
    if (ended?.saidLeaving && isSameIncarnation(ended.record, record)) {
      target.recordLeaving();
    }
    this.#targets.set(record.id, target);
    const list = this.#byService.get(record.service);
    if (list) list.push(target);
    else this.#byService.set(record.service, [target]);
  }

  #delete(id: string, nowMillis: number): void {
    const target = this.#targets.get(id);
    if (target === undefined) return;
    this.#targets.delete(id);
    this.#ended.set(id, {
      record: target.record,
      saidLeaving: target.saysLeaving,
      forgetAtMillis: nowMillis + ENDED_RETENTION_MILLIS,
    });
    const list = this.#byService.get(target.record.service) ?? [];
    const index = list.indexOf(target);
    if (index >= 0) list.splice(index, 1);
  }
}

/** True unless `record` says more than an earlier or equal record of its incarnation. */
function isOutdated(record: TargetRecord, known: TargetRecord): boolean {
  if (!isSameIncarnation(record, known)) return false;
  if (record.sequence !== known.sequence) {
    return record.sequence < known.sequence;
  }
  // Without sequence numbers, a drain is never taken back.
  return known.draining || !record.draining;
}

function isSameIncarnation(a: TargetRecord, b: TargetRecord): boolean {
  return a.address === b.address && a.service === b.service &&
    a.bornMillis === b.bornMillis;
}
