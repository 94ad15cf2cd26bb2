/**
 * Knows who owns which pool and how loaded each seems. Loads are hints; the
 * owner's admission decides.
 */
import { findOwner, poolKey } from "@bamboolane/locate/rank_entries";
import type { MembershipTable } from "@bamboolane/membership/membership_table";
import type { PoolView } from "@bamboolane/route/choose_data_centre";
import type { ServiceConfig } from "@bamboolane/types/fleet";
import type { InstanceRecord, PoolLoad } from "@bamboolane/types/instance";

/** How long a load that came with an answer is believed over the gossiped one. */
const hintMillis = 1000;
/** How long a peer is passed over after its connection failed. */
const passOverMillis = 1000;
const maxHints = 4096;

interface Hint {
  load: PoolLoad;
  atMillis: number;
}

/** Options of {@link PoolDirectory}. */
export interface PoolDirectoryOptions {
  table: MembershipTable;
  now: () => number;
  unreachable: () => Set<string>;
}

/** Owners and loads of pools. */
export class PoolDirectory {
  readonly #options: PoolDirectoryOptions;
  readonly #hints = new Map<string, Hint>();
  readonly #passedOver = new Map<string, number>();
  readonly #owners = new Map<string, InstanceRecord | undefined>();
  #ownersFor = -1;

  constructor(options: PoolDirectoryOptions) {
    this.#options = options;
  }

  /** The instance that owns a pool. */
  owner(service: string, dataCentre: string): InstanceRecord | undefined {
    const { table } = this.#options;
    if (this.#ownersFor !== table.membershipVersion) {
      this.#ownersFor = table.membershipVersion;
      this.#owners.clear();
    }
    const key = poolKey(service, dataCentre);
    if (!this.#owners.has(key)) {
      this.#owners.set(key, findOwner(service, dataCentre, table.live()));
    }
    const owner = this.#owners.get(key);
    return owner && table.get(owner.id);
  }

  /** Takes a load that came with an answer. */
  noteLoad(dataCentre: string, load: PoolLoad): void {
    if (this.#hints.size >= maxHints) this.#hints.clear();
    const atMillis = this.#options.now();
    this.#hints.set(poolKey(load.service, dataCentre), { load, atMillis });
  }

  /** Passes a peer over for a while. */
  notePeerFailure(peer: string): void {
    this.#passedOver.set(peer, this.#options.now() + passOverMillis);
  }

  /** Views of a service's pools in all data centres that have targets of it. */
  views(service: ServiceConfig): PoolView[] {
    const slots = new Map<string, number>();
    for (const target of service.targets) {
      slots.set(
        target.dataCentre,
        (slots.get(target.dataCentre) ?? 0) + target.slots,
      );
    }
    const unreachable = this.#options.unreachable();
    return [...slots].map(([dataCentre, count]) =>
      this.#view(service.id, { dataCentre, slots: count, unreachable })
    );
  }

  #view(
    service: string,
    pool: { dataCentre: string; slots: number; unreachable: Set<string> },
  ): PoolView {
    const { dataCentre, slots } = pool;
    const owner = this.owner(service, dataCentre);
    const load = owner && this.#load(service, dataCentre, owner);
    return {
      dataCentre,
      slots,
      reachable: owner !== undefined && !pool.unreachable.has(dataCentre) &&
        !this.#isPassedOver(owner.id),
      freeSlots: load?.freeSlots ?? -1,
      queued: load?.queued ?? 0,
      typicalMillis: load?.typicalMillis ?? 0,
    };
  }

  #load(
    service: string,
    dataCentre: string,
    owner: InstanceRecord,
  ): PoolLoad | undefined {
    const hint = this.#hints.get(poolKey(service, dataCentre));
    const recent = hint !== undefined &&
      this.#options.now() - hint.atMillis < hintMillis;
    if (recent && owner.id !== this.#options.table.self.id) return hint.load;
    return owner.pools.find((pool) => pool.service === service);
  }

  #isPassedOver(peer: string): boolean {
    const until = this.#passedOver.get(peer);
    if (until === undefined) return false;
    if (until > this.#options.now()) return true;
    this.#passedOver.delete(peer);
    return false;
  }
}
