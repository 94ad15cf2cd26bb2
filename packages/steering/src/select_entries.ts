/**
 * The directory's answer: which entries a caller should connect to. Entries of
 * the caller's own data centre where there are enough of them to survive the
 * loss of one, else those of its region, else all.
 */
import type { EntryRecord } from "./steering_config.ts";

/** Fewer entries than this leave a caller without a second choice. */
const enoughEntries = 2;
/** Addresses that one answer may hold. */
const maxAddresses = 64;

/** Where a caller is. */
export interface CallerLocation {
  region: string;
  dataCentre: string;
}

/** Addresses for callers at `place`, from live entries. */
export function selectEntries(
  place: CallerLocation,
  live: readonly EntryRecord[],
): string[] {
  const near = live.filter((entry) => entry.dataCentre === place.dataCentre);
  const region = live.filter((entry) => entry.region === place.region);
  const chosen = near.length >= enoughEntries
    ? near
    : region.length > 0
    ? region
    : live;
  return chosen.slice(0, maxAddresses).map((entry) => entry.callerAddress);
}
