/**
 * Which entries live, from rows of the store and from heartbeats. The rows say
 * who exists, heartbeats who answers; an entry is named to callers only while
 * its heartbeats arrive.
 */
import type { EntryRecord } from "./steering_config.ts";

/** An entry as others believe it to be. */
export interface Member {
  record: EntryRecord;
  /** Version of the row; 0 for one known from heartbeats only. */
  version: number;
  heardAtMillis: number;
  serving: boolean;
  /** In flight by target id, as last reported. */
  inFlight: ReadonlyMap<string, number>;
}

/** Silence after which an entry counts as dead: five heartbeats. */
export const silenceMillis = 1500;

/** The other entries, by id. */
export class MemberView {
  readonly #members = new Map<string, Member>();
  /** False until the list of entries was read once. */
  isComplete = false;

  /** Applies a row of the store. */
  apply(id: string, record: EntryRecord | undefined, version: number): void {
    const known = this.#members.get(id);
    if (known && known.version >= version) return;
    if (record === undefined) {
      this.#members.delete(id);
      return;
    }
    if (known && known.record.incarnation >= record.incarnation) {
      known.version = version;
      return;
    }
    this.#members.set(id, {
      record,
      version,
      heardAtMillis: -Infinity,
      serving: false,
      inFlight: new Map(),
    });
  }

  /** Takes over a heartbeat. Returns true where it tells of a new life. */
  hear(
    record: EntryRecord,
    state: { serving: boolean; inFlight: ReadonlyMap<string, number> },
    nowMillis: number,
  ): boolean {
    const known = this.#members.get(record.id);
    if (known && known.record.incarnation > record.incarnation) return false;
    const isNew = known === undefined ||
      known.record.incarnation < record.incarnation;
    this.#members.set(record.id, {
      record,
      version: known?.version ?? 0,
      heardAtMillis: nowMillis,
      ...state,
    });
    return isNew;
  }

  all(): Member[] {
    return [...this.#members.values()];
  }

  /** Known entries, also silent ones, with this one. */
  get count(): number {
    return this.#members.size + 1;
  }

  /** Entries whose heartbeats arrive and that take callers. */
  serving(nowMillis: number): Member[] {
    return this.all().filter((member) =>
      member.serving && nowMillis - member.heardAtMillis < silenceMillis
    );
  }

  /** Known entries of this one's region, also silent ones, with this one. */
  countInRegion(region: string): number {
    let count = 1;
    for (const member of this.#members.values()) {
      if (member.record.region === region) count++;
    }
    return count;
  }

  /** Sum of what the live entries have in flight at a target. */
  inFlightAt(target: string, nowMillis: number): number {
    let sum = 0;
    for (const member of this.#members.values()) {
      if (nowMillis - member.heardAtMillis >= silenceMillis) continue;
      sum += member.inFlight.get(target) ?? 0;
    }
    return sum;
  }
}
