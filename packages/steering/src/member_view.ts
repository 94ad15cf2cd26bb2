/**
 * Which entries live, from rows of the store, heartbeats and digests. The rows
 * say who exists. Entries of one data centre hear each other's heartbeats; of
 * other data centres they hear digests, which one entry there sends for all. An
 * entry is named to callers only while it is heard of.
 */
import { InFlightSums } from "./in_flight_sums.ts";
import type { EntryRecord } from "./steering_config.ts";

/** An entry as others believe it to be. */
export interface Member {
  record: EntryRecord;
  /** Version of the row; 0 for one known from messages only. */
  version: number;
  /** It counts as dead from then on, unless it is heard of again. */
  liveUntilMillis: number;
  serving: boolean;
  /** It follows the store, or could. */
  reachesStore: boolean;
}

/** What an entry says of itself. */
export interface MemberState {
  serving: boolean;
  reachesStore: boolean;
  inFlight: ReadonlyMap<string, number>;
}

/** What one entry says of all that serve in its data centre. */
export interface DataCentreState {
  relay: EntryRecord;
  /** Ids of the entries that serve. */
  serving: readonly string[];
  inFlight: ReadonlyMap<string, number>;
}

/** Silence after which an entry of the own data centre counts as dead: several heartbeats. */
export const HEARTBEAT_TIMEOUT_MILLIS = 1500;
/** Silence after which a data centre's entries count as dead: several digests and a hop. */
export const DIGEST_TIMEOUT_MILLIS = 2500;

/** The other entries, by id. */
export class MemberView {
  readonly #members = new Map<string, Member>();
  readonly #inFlight = new InFlightSums();
  /** False until the list of entries was read once. */
  isComplete = false;
  #generation = 0;

  /** Grows whenever an entry is added or removed. */
  get generation(): number {
    return this.#generation;
  }

  /** Applies a row of the store. */
  apply(id: string, record: EntryRecord | undefined, version: number): void {
    const known = this.#members.get(id);
    if (known && known.version >= version) return;
    if (record === undefined) {
      if (this.#members.delete(id)) this.#generation++;
      this.#inFlight.remove(id);
      return;
    }
    if (known && known.record.incarnation >= record.incarnation) {
      known.version = version;
      return;
    }
    if (known === undefined) this.#generation++;
    this.#members.set(id, {
      record,
      version,
      liveUntilMillis: -Infinity,
      serving: false,
      reachesStore: false,
    });
  }

  /** Forgets entries that the store no longer lists and that are silent: they left. */
  retain(listed: ReadonlySet<string>, nowMillis: number): void {
    for (const [id, member] of this.#members) {
      if (listed.has(id) || nowMillis < member.liveUntilMillis) continue;
      this.#members.delete(id);
      this.#generation++;
    }
  }

  /** Takes over a heartbeat. Returns true where it tells of a new life. */
  applyHeartbeat(
    record: EntryRecord,
    state: MemberState,
    nowMillis: number,
  ): boolean {
    const known = this.#members.get(record.id);
    if (known && known.record.incarnation > record.incarnation) return false;
    const isNew = known === undefined ||
      known.record.incarnation < record.incarnation;
    if (known === undefined) this.#generation++;
    const liveUntilMillis = nowMillis + HEARTBEAT_TIMEOUT_MILLIS;
    this.#inFlight.set(record.id, state.inFlight, liveUntilMillis);
    this.#members.set(record.id, {
      record,
      version: known?.version ?? 0,
      liveUntilMillis,
      serving: state.serving,
      reachesStore: state.reachesStore,
    });
    return isNew;
  }

  /**
   * Takes over a digest. Returns false where it names entries that aren't
   * known yet, so that the list of entries has to be read again.
   */
  applyDigest(state: DataCentreState, nowMillis: number): boolean {
    const { relay } = state;
    const known = this.#members.get(relay.id);
    if (known && known.record.incarnation > relay.incarnation) return true;
    const liveUntilMillis = nowMillis + DIGEST_TIMEOUT_MILLIS;
    const relayState = { serving: true, reachesStore: true };
    this.applyHeartbeat(
      relay,
      { ...relayState, inFlight: new Map() },
      nowMillis,
    );
    const serving = new Set(state.serving);
    for (const [id, member] of this.#members) {
      if (member.record.dataCentre !== relay.dataCentre) continue;
      member.serving = serving.delete(id);
      if (member.serving) member.liveUntilMillis = liveUntilMillis;
    }
    this.#inFlight.set(
      `data centre ${relay.dataCentre}`,
      state.inFlight,
      liveUntilMillis,
    );
    return serving.size === 0;
  }

  all(): Member[] {
    return [...this.#members.values()];
  }

  /** Known entries, also silent ones, with this one. */
  get count(): number {
    return this.#members.size + 1;
  }

  /** Entries that are heard of and take callers. */
  serving(nowMillis: number): Member[] {
    return this.all().filter((member) =>
      member.serving && nowMillis < member.liveUntilMillis
    );
  }

  /** Known entries of a region, also silent ones. */
  idsInRegion(region: string): string[] {
    return this.all()
      .filter(({ record }) => record.region === region)
      .map(({ record }) => record.id);
  }

  /** Sum of what the entries that are heard of have in flight at a target. */
  inFlightAt(target: string, nowMillis: number): number {
    return this.#inFlight.at(target, nowMillis);
  }

  /** What one entry that is heard directly has in flight, by target. */
  inFlightOf(id: string, nowMillis: number): ReadonlyMap<string, number> {
    return this.#inFlight.of(id, nowMillis) ?? new Map();
  }
}
