/**
 * Orders the data centres that may run a request, best first. Admission is
 * decided at the receiver; a stale view here costs a refusal, not overload.
 */
import type {
  FleetConfig,
  Move,
  RegionConfig,
  ServiceConfig,
} from "@bamboolane/types/fleet";
import { DrainKind, MoveState } from "@bamboolane/types/fleet";
import { hashToShare } from "./rendezvous.ts";

/** What is known of a service's pool in one data centre. */
export interface PoolView {
  dataCentre: string;
  /** An owner is known and believed reachable. */
  reachable: boolean;
  /** Negative while nothing is known. */
  freeSlots: number;
  queued: number;
  slots: number;
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
  /** A cut-off instance sends nothing on its own initiative to other regions. */
  cutOff: boolean;
}

/** One candidate with the parts of its cost. */
export interface DataCentreCandidate {
  dataCentre: string;
  costMillis: number;
  reason: string;
}

/** Each data centre away from home must be this much better. Unit: milliseconds. */
const homePreferenceMillis = 5;
/** Between data centres that are equally far from home, the nearer one to here wins. */
const detourWeight = 0.1;
const sameRegionMillis = 1.5;
const defaultLinkMillis = 50;

/** Finds the region of a data centre. */
export function regionOf(regions: RegionConfig[], dataCentre: string): string {
  const region = regions.find((r) =>
    r.dataCentres.some((d) => d.id === dataCentre)
  );
  return region?.id ?? "";
}

/** One-way latency between two data centres. Unit: milliseconds. */
export function distanceMillis(
  fleet: FleetConfig,
  from: string,
  to: string,
): number {
  if (from === to) return 0;
  const fromRegion = regionOf(fleet.regions, from);
  const toRegion = regionOf(fleet.regions, to);
  if (fromRegion === toRegion) return sameRegionMillis;
  const link = fleet.links.find((l) =>
    l.between.includes(fromRegion) && l.between.includes(toRegion)
  );
  return link?.latencyMillis ?? defaultLinkMillis;
}

/** The share of `from` that a move has shifted so far, never above its cap. */
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

/** Applies the moves of a service to a block's home data centre. */
export function applyMoves(
  fleet: FleetConfig,
  question: { service: string; home: string; blockKey: string },
): { home: string; moveId: string | undefined } {
  for (const move of fleet.moves) {
    if (move.service !== question.service || move.from !== question.home) {
      continue;
    }
    if (hashToShare(`${move.id}/${question.blockKey}`) < movedShare(move)) {
      return { home: move.to, moveId: move.id };
    }
  }
  return { home: question.home, moveId: undefined };
}

function waitMillis(pool: PoolView): number {
  if (pool.freeSlots !== 0 || pool.slots === 0) return 0;
  return (pool.queued + 1) * pool.typicalMillis / pool.slots;
}

function isDrained(fleet: FleetConfig, dataCentre: string): boolean {
  return fleet.drains.some((d) =>
    d.kind === DrainKind.dataCentre && d.id === dataCentre
  );
}

/** Orders the data centres that have targets of the service. */
export function chooseDataCentres(
  question: RoutingInput,
): DataCentreCandidate[] {
  const { fleet, home, localDataCentre: here } = question;
  const hereRegion = regionOf(fleet.regions, here);
  const candidates: DataCentreCandidate[] = [];
  for (const pool of question.pools) {
    const sameRegion = regionOf(fleet.regions, pool.dataCentre) === hereRegion;
    if (isDrained(fleet, pool.dataCentre) || !pool.reachable) continue;
    if (question.cutOff && !sameRegion && pool.dataCentre !== home) continue;
    const travel = 2 * distanceMillis(fleet, home, pool.dataCentre) +
      detourWeight * distanceMillis(fleet, here, pool.dataCentre);
    const wait = waitMillis(pool);
    const away = pool.dataCentre === home ? 0 : homePreferenceMillis;
    candidates.push({
      dataCentre: pool.dataCentre,
      costMillis: travel + wait + away,
      reason: `travel:${travel},wait:${Math.round(wait)},away:${away}`,
    });
  }
  return candidates.sort((a, b) =>
    a.costMillis - b.costMillis || (a.dataCentre < b.dataCentre ? -1 : 1)
  );
}
