/**
 * View of the other entries, built from store rows, heartbeats and digests. The
 * rows list the entries that exist. Liveness within a data centre comes from
 * heartbeats between its entries, and across data centres from digests that one
 * entry sends on behalf of its data centre. Callers are directed only to
 * entries that are currently live.
 */
import { InFlightSums } from "./in_flight_sums.ts";
import type { EntryRecord } from "./steering_config.ts";

/** State of another entry, as last reported. */
export interface Member {
  record: EntryRecord;
  /** Version of its store row; 0 if it is known from messages only. */
  version: number;
  /** Time from which the entry counts as dead unless another message arrives. */
  liveUntilMillis: number;
  /** The entry accepts callers. */
  serving: boolean;
  /** The entry can read the store. */
  reachesStore: boolean;
  /** Services of which the entry reaches no target. */
  unreachableServices: ReadonlySet<string>;
}

/** State that an entry reports in a heartbeat. */
export interface MemberState {
  /** The entry accepts callers. */
  serving: boolean;
  /** The entry can read the store. */
  reachesStore: boolean;
  /** The entry's own requests in flight, by target. */
  inFlight: ReadonlyMap<string, number>;
  /** Services of which the entry reaches no target. */
  unreachableServices?: readonly string[];
}

/** State that a relay reports in a digest on behalf of its data centre. */
export interface DataCentreState {
  relay: EntryRecord;
  /** Ids of the serving entries. */
  serving: readonly string[];
  /** Requests in flight of all entries of the data centre, by target. */
  inFlight: ReadonlyMap<string, number>;
  /** Services of which an entry reaches no target, by entry; empty lists are left out. */
  unreachableServices?: Readonly<Record<string, readonly string[]>>;
}

/** Time without a heartbeat after which an entry counts as dead: several heartbeat intervals. */
export const HEARTBEAT_TIMEOUT_MILLIS = 1500;
/**
 * Time without a digest after which a data centre's entries count as dead:
 * several digest intervals and a hop.
 */
export const DIGEST_TIMEOUT_MILLIS = 2500;

/** Maximum number of entries that are known from messages only, and not from the store. */
const MAX_UNLISTED_MEMBERS = 2000;

const NO_SERVICES: ReadonlySet<string> = new Set();

/** The other entries, by id. */
export class MemberView {
  readonly #members = new Map<string, Member>();
  readonly #inFlight = new InFlightSums();
  /** False until the list of entries has been read once. */
  isComplete = false;
  #generation = 0;

  /** Increases whenever an entry is added or removed. */
  get generation(): number {
    return this.#generation;
  }

  /**
   * Applies a store row if it is newer than the last one of the entry. An
   * undefined record removes the entry; a record of a known incarnation leaves
   * its state as it is.
   */
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
      unreachableServices: NO_SERVICES,
    });
  }

  /**
   * Removes the entries that are neither listed in the store nor live: these have
   * left.
   */
  retain(listed: ReadonlySet<string>, nowMillis: number): void {
    for (const [id, member] of this.#members) {
      if (listed.has(id) || nowMillis < member.liveUntilMillis) continue;
      this.#members.delete(id);
      this.#generation++;
    }
  }

  /**
   * Applies a heartbeat, except of an earlier incarnation, or of a new entry while too
   * many are known. Returns true for a new entry or a new incarnation.
   */
  applyHeartbeat(
    record: EntryRecord,
    state: MemberState,
    nowMillis: number,
  ): boolean {
    const known = this.#members.get(record.id);
    if (known && known.record.incarnation > record.incarnation) return false;
    if (known === undefined && !this.#makeRoom(nowMillis)) return false;
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
      unreachableServices: new Set(state.unreachableServices),
    });
    return isNew;
  }

  /**
   * Applies a digest, except of an earlier incarnation of the relay. Returns
   * false if it names unknown entries, in which case the list of entries has to
   * be read again.
   */
  applyDigest(state: DataCentreState, nowMillis: number): boolean {
    const { relay } = state;
    const known = this.#members.get(relay.id);
    if (known && known.record.incarnation > relay.incarnation) return true;
    const liveUntilMillis = nowMillis + DIGEST_TIMEOUT_MILLIS;
    // The relay's own requests are part of the digest's counts.
    const relayState = { serving: true, reachesStore: true };
    this.applyHeartbeat(
      relay,
      { ...relayState, inFlight: new Map() },
      nowMillis,
    );
    if (!this.#members.has(relay.id)) return true;
    const serving = new Set(state.serving);
    for (const [id, member] of this.#members) {
      if (member.record.dataCentre !== relay.dataCentre) continue;
      member.serving = serving.delete(id);
      if (member.serving) member.liveUntilMillis = liveUntilMillis;
      member.unreachableServices = new Set(state.unreachableServices?.[id]);
    }
    this.#inFlight.set(
      `data centre ${relay.dataCentre}`,
      state.inFlight,
      liveUntilMillis,
    );
    return serving.size === 0;
  }

  /** Removes silent entries if there are too many; returns false if that is not enough. */
  #makeRoom(nowMillis: number): boolean {
    if (this.#members.size < MAX_UNLISTED_MEMBERS) return true;
    const unlisted = [...this.#members].filter(([, { version }]) =>
      version === 0
    );
    if (unlisted.length < MAX_UNLISTED_MEMBERS) return true;
    const silent = unlisted.filter(([, { liveUntilMillis }]) =>
      liveUntilMillis <= nowMillis
    );
    for (const [id] of silent) {
      this.#members.delete(id);
      this.#inFlight.remove(id);
    }
    if (silent.length > 0) this.#generation++;
    return silent.length > 0;
  }

  all(): Member[] {
    return [...this.#members.values()];
  }

  /** Number of known entries, live or not, including this one. */
  get count(): number {
    return this.#members.size + 1;
  }

  /** Live entries that accept callers. */
  serving(nowMillis: number): Member[] {
    return this.all().filter((member) =>
      member.serving && nowMillis < member.liveUntilMillis
    );
  }

  /** True if the entry is live and accepts callers. */
  isServing(id: string, nowMillis: number): boolean {
    const member = this.#members.get(id);
    return member !== undefined && member.serving &&
      nowMillis < member.liveUntilMillis;
  }

  /** Ids of the known entries of a region, live or not. */
  idsInRegion(region: string): string[] {
    return this.all()
      .filter(({ record }) => record.region === region)
      .map(({ record }) => record.id);
  }

  /** Requests in flight at a target, summed over all live entries. */
  inFlightAt(target: string, nowMillis: number): number {
    return this.#inFlight.sumAt(target, nowMillis);
  }

  /** Requests in flight of an entry of the own data centre, by target. */
  inFlightOf(id: string, nowMillis: number): ReadonlyMap<string, number> {
    return this.#inFlight.countsOf(id, nowMillis) ?? new Map();
  }
}
