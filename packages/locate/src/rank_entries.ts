/**
 * Ranks the entries that a caller should use for a service, and determines the
 * owner of a slot pool.
 */
import { DrainKind, type FleetConfig } from "@bamboolane/types/fleet";
import { type InstanceRecord, InstanceState } from "@bamboolane/types/instance";
import { oneWayLatencyMillis } from "@bamboolane/route/choose_data_centre";
import { rankByRendezvous } from "@bamboolane/route/rendezvous";

/** Maximum number of entries in one answer. */
const MAX_ENTRIES = 4;

/** One ranked entry. */
export interface RankedEntry {
  id: string;
  dataCentre: string;
  /** `ip:port` for callers. */
  address: string;
}

function isUsable(instance: InstanceRecord, fleet: FleetConfig): boolean {
  if (instance.state !== InstanceState.serving) return false;
  return !fleet.drains.some((drain) =>
    (drain.kind === DrainKind.instance && drain.id === instance.id) ||
    (drain.kind === DrainKind.dataCentre && drain.id === instance.dataCentre)
  );
}

/**
 * Ranks the usable entries by the latency between their data centre and the
 * client's home, and within a data centre in the pool's rendezvous order, so
 * that the pool's owner comes first unless it is drained.
 */
export function rankEntries(
  fleet: FleetConfig,
  query: { service: string; home: string },
  options: { instances: readonly InstanceRecord[] },
): RankedEntry[] {
  const usable = options.instances.filter((i) => isUsable(i, fleet));
  const groups = new Map<string, InstanceRecord[]>();
  for (const instance of usable) {
    const group = groups.get(instance.dataCentre) ?? [];
    group.push(instance);
    groups.set(instance.dataCentre, group);
  }
  const ordered = [...groups.keys()].map((dataCentre) => ({
    dataCentre,
    distance: oneWayLatencyMillis(fleet, query.home, dataCentre),
  })).sort((a, b) =>
    a.distance - b.distance || (a.dataCentre < b.dataCentre ? -1 : 1)
  );
  const ranked: RankedEntry[] = [];
  for (const { dataCentre } of ordered) {
    if (ranked.length >= MAX_ENTRIES) break;
    const group = groups.get(dataCentre) as InstanceRecord[];
    for (
      const instance of rankByRendezvous(
        poolKey(query.service, dataCentre),
        group,
      )
    ) {
      ranked.push({
        id: instance.id,
        dataCentre,
        address: instance.callerAddress,
      });
    }
  }
  return ranked.slice(0, MAX_ENTRIES);
}

/** Returns the key of a service's slot pool in a data centre. */
export function poolKey(service: string, dataCentre: string): string {
  return `${service}@${dataCentre}`;
}

/**
 * Finds the serving instance that owns the pool; undefined if there is none.
 * Only the instance's state counts, not the operators' drains.
 */
export function findOwner(
  service: string,
  dataCentre: string,
  instances: readonly InstanceRecord[],
): InstanceRecord | undefined {
  const candidates = instances.filter((i) =>
    i.dataCentre === dataCentre && i.state === InstanceState.serving
  );
  return rankByRendezvous(poolKey(service, dataCentre), candidates)[0];
}
