/**
 * Ranks the entries that a caller should use for a service.
 */
import { DrainKind, type FleetConfig } from "@bamboolane/types/fleet";
import { type InstanceRecord, InstanceState } from "@bamboolane/types/instance";
import { distanceMillis } from "@bamboolane/route/choose_data_centre";
import { rankByRendezvous } from "@bamboolane/route/rendezvous";

/** Entries named in one answer. */
const maxEntries = 4;

/** One ranked entry. */
export interface RankedEntry {
  id: string;
  dataCentre: string;
  address: string;
}

function isUsable(instance: InstanceRecord, fleet: FleetConfig): boolean {
  if (instance.state !== InstanceState.serving) return false;
  return !fleet.drains.some((drain) =>
    (drain.kind === DrainKind.instance && drain.id === instance.id) ||
    (drain.kind === DrainKind.dataCentre && drain.id === instance.dataCentre)
  );
}

/** Orders entries: home data centre first, pool owner first within each. */
export function rankEntries(
  fleet: FleetConfig,
  question: { service: string; home: string },
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
    distance: distanceMillis(fleet, question.home, dataCentre),
  })).sort((a, b) =>
    a.distance - b.distance || (a.dataCentre < b.dataCentre ? -1 : 1)
  );
  const ranked: RankedEntry[] = [];
  for (const { dataCentre } of ordered) {
    if (ranked.length >= maxEntries) break;
    const group = groups.get(dataCentre) as InstanceRecord[];
    for (
      const instance of rankByRendezvous(
        poolKey(question.service, dataCentre),
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
  return ranked.slice(0, maxEntries);
}

/** Names the slot pool of a service in a data centre. */
export function poolKey(service: string, dataCentre: string): string {
  return `${service}@${dataCentre}`;
}

/** Finds the instance that owns the pool; undefined where none is live. */
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
