/**
 * Tracks the owner and the estimated load of each pool. The estimates may be out
 * of date; the owner decides on admission.
 */
import { findOwner, poolKey } from "@bamboolane/locate/rank_entries";
import type { MembershipTable } from "@bamboolane/membership/membership_table";
import type { PoolView } from "@bamboolane/route/choose_data_centre";
import type { ServiceConfig } from "@bamboolane/types/fleet";
import type { InstanceRecord, PoolLoad } from "@bamboolane/types/instance";

/**
 * How long a load that came with an answer takes precedence over the one in the
 * membership table.
 */
const HINT_LIFETIME_MILLIS = 1000;
/** How long a peer is avoided after a connection to it failed. */
const PEER_AVOIDANCE_MILLIS = 1000;
/** When there are this many hints, all are dropped. */
const MAX_HINTS = 4096;

/** A load that came with an answer. */
interface LoadHint {
  load: PoolLoad;
  atMillis: number;
}

/** Options of {@link PoolDirectory}. */
export interface PoolDirectoryOptions {
  table: MembershipTable;
  /** Monotonic time. Unit: milliseconds. */
  now: () => number;
  /** Data centres that are considered unreachable. */
  unreachable: () => Set<string>;
}

/** Owners and loads of pools. */
export class PoolDirectory {
  readonly #options: PoolDirectoryOptions;
  readonly #hints = new Map<string, LoadHint>();
  readonly #avoidedUntilMillis = new Map<string, number>();
  readonly #owners = new Map<string, InstanceRecord | undefined>();
  /** Version of the membership from which the owners were determined. */
  #ownersVersion = -1;

  constructor(options: PoolDirectoryOptions) {
    this.#options = options;
  }

  /** The instance that owns a pool; undefined if there is none. */
  owner(service: string, dataCentre: string): InstanceRecord | undefined {
    const { table } = this.#options;
    if (this.#ownersVersion !== table.membershipVersion) {
      this.#ownersVersion = table.membershipVersion;
      this.#owners.clear();
    }
    const key = poolKey(service, dataCentre);
    if (!this.#owners.has(key)) {
      this.#owners.set(key, findOwner(service, dataCentre, table.live()));
    }
    const owner = this.#owners.get(key);
    // The owner's record changes with its load; the cached one may be outdated.
    return owner && table.get(owner.id);
  }

  /** Records a load that came with an answer. */
  recordLoad(dataCentre: string, load: PoolLoad): void {
    if (this.#hints.size >= MAX_HINTS) this.#hints.clear();
    const atMillis = this.#options.now();
    this.#hints.set(poolKey(load.service, dataCentre), { load, atMillis });
  }

  /** Avoids a peer for a short time. */
  markPeerUnavailable(peer: string): void {
    this.#avoidedUntilMillis.set(
      peer,
      this.#options.now() + PEER_AVOIDANCE_MILLIS,
    );
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
        !this.#isAvoided(owner.id),
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
    const isFresh = hint !== undefined &&
      this.#options.now() - hint.atMillis < HINT_LIFETIME_MILLIS;
    if (isFresh && owner.id !== this.#options.table.self.id) return hint.load;
    return owner.pools.find((pool) => pool.service === service);
  }

  #isAvoided(peer: string): boolean {
    const untilMillis = this.#avoidedUntilMillis.get(peer);
    if (untilMillis === undefined) return false;
    if (untilMillis > this.#options.now()) return true;
    this.#avoidedUntilMillis.delete(peer);
    return false;
  }
}
