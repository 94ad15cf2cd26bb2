/**
 * Aggregate of all instance records that one instance knows. Pure: time and
 * messages come in, changes are numbered so that streams can send deltas.
 */
import { type InstanceRecord, InstanceState } from "@bamboolane/types/instance";
import { rankByRendezvous } from "@bamboolane/route/rendezvous";
import { isNewer } from "./record_order.ts";

/** Relays of each data centre. */
const relaysPerDataCentre = 2;

/** A record with its place in the order of changes. */
interface KnownRecord {
  record: InstanceRecord;
  change: number;
  changedAtMillis: number;
}

/** Where a stream leads, which decides what it carries. */
export type StreamScope =
  | { kind: "mesh" }
  | { kind: "relay"; dataCentre: string }
  | { kind: "contact" };

/** Options of {@link MembershipTable}. */
export interface MembershipTableOptions {
  self: InstanceRecord;
  /** Records kept at most; the oldest dead ones go first. */
  maxRecords: number;
  /** How long a dead record is kept. Unit: milliseconds. */
  deadRetentionMillis: number;
}

/** Records of all instances. */
export class MembershipTable {
  readonly #records = new Map<string, KnownRecord>();
  readonly #options: MembershipTableOptions;
  #change = 0;
  #membershipChange = 0;
  #rankedFor = -1;
  #rank = -1;

  constructor(options: MembershipTableOptions) {
    this.#options = options;
    this.#store(options.self, 0);
  }

  get self(): InstanceRecord {
    return (this.#records.get(this.#options.self.id) as KnownRecord).record;
  }

  /** Number of the latest change. */
  get change(): number {
    return this.#change;
  }

  /** Number of the latest change to who is live; loads don't count. */
  get membershipVersion(): number {
    return this.#membershipChange;
  }

  /** Changes this instance's own record. */
  updateSelf(
    fields: Partial<Omit<InstanceRecord, "id" | "incarnation" | "version">>,
    nowMillis: number,
  ): void {
    const record = { ...this.self, ...fields, version: this.self.version + 1 };
    this.#store(record, nowMillis);
  }

  /** Takes over a record from a peer. True where it was news. */
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

  /** Declares an instance dead that this one watches directly. */
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

  /** All records, the dead included. */
  all(): InstanceRecord[] {
    return [...this.#records.values()].map((known) => known.record);
  }

  /** Instances that are not dead. */
  live(): InstanceRecord[] {
    return this.all().filter((record) => record.state !== InstanceState.dead);
  }

  /** Relays of a data centre, best first. */
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
      relaysPerDataCentre,
    );
  }

  /** This instance's rank among its data centre's relays; -1 for none. */
  ownRelayRank(): number {
    if (this.#rankedFor !== this.#membershipChange) {
      this.#rankedFor = this.#membershipChange;
      this.#rank = this.#computeRank();
    }
    return this.#rank;
  }

  #computeRank(): number {
    const relays = this.relaysOf(this.self.dataCentre);
    return relays.findIndex((record) => record.id === this.self.id);
  }

  /** Records that changed after `since` and belong on a stream. */
  changesSince(since: number, scope: StreamScope): InstanceRecord[] {
    const isRelay = this.ownRelayRank() >= 0;
    const changed: InstanceRecord[] = [];
    for (const known of this.#records.values()) {
      if (known.change <= since) continue;
      if (this.#belongs(known.record, { scope, isRelay })) {
        changed.push(known.record);
      }
    }
    return changed;
  }

  /** Forgets instances that have been dead for long. */
  forgetOld(nowMillis: number): void {
    for (const [id, known] of this.#records) {
      const age = nowMillis - known.changedAtMillis;
      if (known.record.state !== InstanceState.dead) continue;
      if (age > this.#options.deadRetentionMillis) this.#records.delete(id);
    }
  }

  /** A mesh carries own news; relays add the rest. Deaths go to everybody. */
  #belongs(
    record: InstanceRecord,
    options: { scope: StreamScope; isRelay: boolean },
  ): boolean {
    const own = record.dataCentre === this.self.dataCentre;
    switch (options.scope.kind) {
      case "mesh":
        if (own) {
          return record.id === this.self.id ||
            record.state === InstanceState.dead;
        }
        return options.isRelay;
      case "relay":
        return own;
      case "contact":
        return true;
    }
  }

  #refute(record: InstanceRecord, nowMillis: number): boolean {
    const self = this.self;
    if (record.incarnation < self.incarnation) return false;
    const alike = record.incarnation === self.incarnation &&
      record.version <= self.version;
    if (alike && record.state !== InstanceState.dead) return false;
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
    this.#change++;
    if (
      known?.state !== record.state || known.incarnation !== record.incarnation
    ) {
      this.#membershipChange++;
    }
    this.#records.set(record.id, {
      record,
      change: this.#change,
      changedAtMillis: nowMillis,
    });
  }
}
