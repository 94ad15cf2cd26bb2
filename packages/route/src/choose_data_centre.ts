/**
 * Orders the data centres that may run a request, best first. Admission is
 * decided at the receiving instance, so a stale view here leads to a refusal,
 * not to overload.
 */
import type {
  FleetConfig,
  Move,
  RegionConfig,
  ServiceConfig,
} from "@bamboolane/types/fleet";
import { DrainKind, MoveState } from "@bamboolane/types/fleet";
import { hashToUnitInterval } from "./rendezvous.ts";

/** Known state of a service's pool in one data centre. */
export interface PoolView {
  dataCentre: string;
  /** The pool's owner is known and not known to be unreachable. */
  reachable: boolean;
  /** Negative if unknown. */
  freeSlots: number;
  /** Requests that wait for a slot. */
  queued: number;
  slots: number;
  /** Typical duration of an interactive request. */
  typicalMillis: number;
}

/** Input of {@link chooseDataCentres}. */
export interface RoutingInput {
  fleet: FleetConfig;
  service: ServiceConfig;
  /** Data centre that the client's block is steered to. */
  home: string;
  /** Data centre of the deciding instance. */
  localDataCentre: string;
  pools: PoolView[];
  /**
   * The deciding instance has no fresh proof that its configuration is the
   * newest. It then sends requests to another region only if the client's home
   * is there, and only to that data centre.
   */
  cutOff: boolean;
}

/** A candidate with its cost; `reason` lists the parts of the cost. */
export interface DataCentreCandidate {
  dataCentre: string;
  costMillis: number;
  reason: string;
}

/** Cost added to each data centre other than the client's home. */
const HOME_PREFERENCE_MILLIS = 5;
/**
 * Weight of the latency from the deciding instance: it decides between data
 * centres that are equally far from home.
 */
const DETOUR_WEIGHT = 0.1;
const SAME_REGION_LATENCY_MILLIS = 1.5;
const DEFAULT_LINK_LATENCY_MILLIS = 50;

/** Finds the region of a data centre; empty if it is not configured. */
export function regionOf(regions: RegionConfig[], dataCentre: string): string {
  const region = regions.find((r) =>
    r.dataCentres.some((d) => d.id === dataCentre)
  );
  return region?.id ?? "";
}

/** One-way latency between two data centres. Unit: milliseconds. */
export function oneWayLatencyMillis(
  fleet: FleetConfig,
  from: string,
  to: string,
): number {
  if (from === to) return 0;
  const fromRegion = regionOf(fleet.regions, from);
  const toRegion = regionOf(fleet.regions, to);
  if (fromRegion === toRegion) return SAME_REGION_LATENCY_MILLIS;
  const link = fleet.links.find((l) =>
    l.between.includes(fromRegion) && l.between.includes(toRegion)
  );
  return link?.latencyMillis ?? DEFAULT_LINK_LATENCY_MILLIS;
}

/** Share of the traffic of `from` that a move has shifted so far, never above its cap. */
export function movedShare(move: Move): number {
  if (move.step < 0) return 0;
  switch (move.state) {
    case MoveState.planned:
    case MoveState.aborted:
      return 0;
    case MoveState.running:
    case MoveState.paused:
    case MoveState.done:
      return Math.min(move.steps[move.step], move.capShare);
  }
}

/** Applies the moves of a service to the home data centre of a client block. */
export function applyMoves(
  fleet: FleetConfig,
  input: { service: string; home: string; blockKey: string },
): { home: string; moveId: string | undefined } {
  for (const move of fleet.moves) {
    if (move.service !== input.service || move.from !== input.home) {
      continue;
    }
    if (hashToUnitInterval(`${move.id}/${input.blockKey}`) < movedShare(move)) {
      return { home: move.to, moveId: move.id };
    }
  }
  return { home: input.home, moveId: undefined };
}

/**
 * Expected wait for a slot; 0 if slots are free, if their number is unknown, or
 * if the pool has none.
 */
function waitMillis(pool: PoolView): number {
  if (pool.freeSlots !== 0 || pool.slots === 0) return 0;
  return (pool.queued + 1) * pool.typicalMillis / pool.slots;
}

function isDrained(fleet: FleetConfig, dataCentre: string): boolean {
  return fleet.drains.some((d) =>
    d.kind === DrainKind.dataCentre && d.id === dataCentre
  );
}

/** Orders the usable data centres that have targets of the service, by cost. */
export function chooseDataCentres(
  input: RoutingInput,
): DataCentreCandidate[] {
  const { fleet, home, localDataCentre } = input;
  const localRegion = regionOf(fleet.regions, localDataCentre);
  const candidates: DataCentreCandidate[] = [];
  for (const pool of input.pools) {
    const sameRegion = regionOf(fleet.regions, pool.dataCentre) === localRegion;
    if (isDrained(fleet, pool.dataCentre) || !pool.reachable) continue;
    if (input.cutOff && !sameRegion && pool.dataCentre !== home) continue;
    const travel = 2 * oneWayLatencyMillis(fleet, home, pool.dataCentre) +
      DETOUR_WEIGHT *
        oneWayLatencyMillis(fleet, localDataCentre, pool.dataCentre);
    const wait = waitMillis(pool);
    const penalty = pool.dataCentre === home ? 0 : HOME_PREFERENCE_MILLIS;
    candidates.push({
      dataCentre: pool.dataCentre,
      costMillis: travel + wait + penalty,
      reason: `travel:${travel},wait:${Math.round(wait)},away:${penalty}`,
    });
  }
  return candidates.sort((a, b) =>
    a.costMillis - b.costMillis || (a.dataCentre < b.dataCentre ? -1 : 1)
  );
}
