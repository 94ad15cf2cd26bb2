/**
 * Chooses the entry that a request is forwarded to when this entry can't reach the
 * targets of its service. The nearest entry goes first, but each request that is
 * under way at an entry counts against it, so that no entry gets them all.
 */
import type { Member } from "./member_view.ts";
import type { EntryRecord } from "./steering_config.ts";

/** Inputs of {@link choosePeer}. */
export interface PeerChoice {
  self: { dataCentre: string; region: string };
  service: string;
  /** Regions that may run the request; empty for all. */
  allowedRegions: readonly string[];
  /** Ids of the entries that were tried already. */
  exclude: ReadonlySet<string>;
  /** Requests that this entry has forwarded to an entry and that are under way. */
  forwardedTo: (id: string) => number;
  /** Uniform in [0, 1): breaks ties. */
  random: number;
}

/** Cost of an entry's distance, in requests under way there. */
const DISTANCE_COST = {
  sameDataCentre: 0,
  sameRegion: 1,
  otherRegion: 6,
} as const;

/** Returns undefined if no serving entry reaches the service's targets. */
export function choosePeer(
  members: readonly Member[],
  choice: PeerChoice,
): EntryRecord | undefined {
  const { allowedRegions, exclude, service } = choice;
  const candidates = members.filter(({ record, unreachableServices }) =>
    !exclude.has(record.id) && !unreachableServices.has(service) &&
    (allowedRegions.length === 0 || allowedRegions.includes(record.region))
  );
  if (candidates.length === 0) return undefined;
  const costs = candidates.map(({ record }) =>
    choice.forwardedTo(record.id) + distanceCost(record, choice.self)
  );
  const lowest = Math.min(...costs);
  const best = candidates.filter((_, i) => costs[i] === lowest);
  return best[Math.floor(choice.random * best.length)].record;
}

function distanceCost(record: EntryRecord, self: PeerChoice["self"]): number {
  if (record.dataCentre === self.dataCentre) {
    return DISTANCE_COST.sameDataCentre;
  }
  return record.region === self.region
    ? DISTANCE_COST.sameRegion
    : DISTANCE_COST.otherRegion;
}
