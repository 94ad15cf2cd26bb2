/**
 * The records of all instances that this one knows. The table does no I/O and
 * reads no clock: callers pass in the time and the received records. Changes
 * are numbered so that each stream can send deltas.
 */
import { type InstanceRecord, InstanceState } from "@bamboolane/types/instance";
import { rankByRendezvous } from "@bamboolane/route/rendezvous";
import { isNewer } from "./record_order.ts";

/** Instances of a data centre that exchange heartbeats with other data centres. */
const RELAYS_PER_DATA_CENTRE = 2;

/** A record with the number and time of its latest change. */
interface StoredRecord {
  record: InstanceRecord;
  latestChange: number;
  changedAtMillis: number;
}

/**
 * Kind of link that a stream serves; decides which records it carries. A mesh
 * link stays inside the data centre, a relay link leads to another one, and a
 * contact exchanges all records once.
 */
export type StreamScope =
  | { kind: "mesh" }
  | { kind: "relay"; dataCentre: string }
  | { kind: "contact" };

/** Options of {@link MembershipTable}. */
export interface MembershipTableOptions {
  self: InstanceRecord;
  /**
   * Maximum number of records. At the limit a new instance replaces the dead one
   * that was added first, and is ignored if none is dead.
   */
  maxRecords: number;
  /** How long a dead record is kept. Unit: milliseconds. */
  deadRetentionMillis: number;
}

/** Records of all known instances, including this one. */
export class MembershipTable {
  readonly #records = new Map<string, StoredRecord>();
  readonly #options: MembershipTableOptions;
  #latestChange = 0;
  #membershipVersion = 0;
  #rankedVersion = -1;
  #rank = -1;

  constructor(options: MembershipTableOptions) {
    this.#options = options;
    this.#store(options.self, 0);
  }

  get self(): InstanceRecord {
    return (this.#records.get(this.#options.self.id) as StoredRecord).record;
  }

  /** Number of the latest change. */
  get latestChange(): number {
    return this.#latestChange;
  }

  /**
   * Increases when an instance is added or its state or incarnation changes, not
   * with its load.
   */
  get membershipVersion(): number {
    return this.#membershipVersion;
  }

  /** Updates this instance's own record. */
  updateSelf(
    fields: Partial<Omit<InstanceRecord, "id" | "incarnation" | "version">>,
    nowMillis: number,
  ): void {
    const record = { ...this.self, ...fields, version: this.self.version + 1 };
    this.#store(record, nowMillis);
  }

  /** Merges a record received from a peer. True if the table changed. */
  merge(record: InstanceRecord, nowMillis: number): boolean {
    if (record.id === this.#options.self.id) {
      return this.#refute(record, nowMillis);
    }
    const known = this.#records.get(record.id);
    if (known !== undefined && !isNewer(record, known.record)) return false;
    if (known === undefined && !this.#makeRoom()) return false;
    this.#store(record, nowMillis);
    return true;
  }

  /** Marks a directly monitored instance as dead. True if it was live. */
  declareDead(id: string, nowMillis: number): boolean {
    const known = this.#records.get(id);
    if (known === undefined || known.record.state === InstanceState.dead) {
      return false;
    }
    this.#store(
      { ...known.record, state: InstanceState.dead, pools: [] },
      nowMillis,
    );
    return true;
  }

  get(id: string): InstanceRecord | undefined {
    return this.#records.get(id)?.record;
  }

  /** All records, including those of dead instances. */
  all(): InstanceRecord[] {
    return [...this.#records.values()].map((known) => known.record);
  }

  /** Instances that are not dead. */
  live(): InstanceRecord[] {
    return this.all().filter((record) => record.state !== InstanceState.dead);
  }

  /** Relays of a data centre, highest rank first. */
  relaysOf(
    dataCentre: string,
    options: { isRefused: (id: string) => boolean } = {
      isRefused: () => false,
    },
  ): InstanceRecord[] {
    const candidates = this.live().filter((record) =>
      record.dataCentre === dataCentre &&
      record.state !== InstanceState.leaving &&
      !options.isRefused(record.id)
    );
    return rankByRendezvous(`relay/${dataCentre}`, candidates).slice(
      0,
      RELAYS_PER_DATA_CENTRE,
    );
  }

  /** This instance's rank among its data centre's relays; -1 if it is no relay. */
  ownRelayRank(): number {
    if (this.#rankedVersion !== this.#membershipVersion) {
      this.#rankedVersion = this.#membershipVersion;
      this.#rank = this.#computeRank();
    }
    return this.#rank;
  }

  #computeRank(): number {
    const relays = this.relaysOf(this.self.dataCentre);
    return relays.findIndex((record) => record.id === this.self.id);
  }

  /** Records changed after change `since` that a stream of this scope carries. */
  changesSince(since: number, scope: StreamScope): InstanceRecord[] {
    const isRelay = this.ownRelayRank() >= 0;
    const changed: InstanceRecord[] = [];
    for (const known of this.#records.values()) {
      if (known.latestChange <= since) continue;
      if (this.#shouldSend(known.record, { scope, isRelay })) {
        changed.push(known.record);
      }
    }
    return changed;
  }

  /** Removes records that have been dead for longer than the retention time. */
  removeExpired(nowMillis: number): void {
    for (const [id, known] of this.#records) {
      const age = nowMillis - known.changedAtMillis;
      if (known.record.state !== InstanceState.dead) continue;
      if (age > this.#options.deadRetentionMillis) this.#records.delete(id);
    }
  }

  /**
   * On mesh streams each instance sends its own record and the dead ones of its
   * data centre; relays also send other data centres' records. Relay streams
   * carry the records of the own data centre, contacts carry all.
   */
  #shouldSend(
    record: InstanceRecord,
    options: { scope: StreamScope; isRelay: boolean },
  ): boolean {
    const isLocal = record.dataCentre === this.self.dataCentre;
    switch (options.scope.kind) {
      case "mesh":
        if (isLocal) {
          return record.id === this.self.id ||
            record.state === InstanceState.dead;
        }
        return options.isRelay;
      case "relay":
        return isLocal;
      case "contact":
        return true;
    }
  }

  /**
   * Handles a received record of this instance. If it is newer than the own
   * record or says that this incarnation is dead, the own record gets a higher
   * version, so that it wins at all peers. Records of other incarnations are
   * ignored. True if the table changed.
   */
  #refute(record: InstanceRecord, nowMillis: number): boolean {
    const self = this.self;
    if (record.incarnation < self.incarnation) return false;
    const isNotNewer = record.incarnation === self.incarnation &&
      record.version <= self.version;
    if (isNotNewer && record.state !== InstanceState.dead) return false;
    if (record.incarnation > self.incarnation) return false;
    const version = Math.max(record.version, self.version) + 1;
    this.#store({ ...self, version }, nowMillis);
    return true;
  }

  #makeRoom(): boolean {
    if (this.#records.size < this.#options.maxRecords) return true;
    const dead = [...this.#records].find(([, known]) =>
      known.record.state === InstanceState.dead
    );
    if (dead === undefined) return false;
    this.#records.delete(dead[0]);
    return true;
  }

  #store(record: InstanceRecord, nowMillis: number): void {
    const known = this.#records.get(record.id)?.record;
    this.#latestChange++;
    if (
      known?.state !== record.state || known.incarnation !== record.incarnation
    ) {
      this.#membershipVersion++;
    }
    this.#records.set(record.id, {
      record,
      latestChange: this.#latestChange,
      changedAtMillis: nowMillis,
    });
  }
}
