/**
 * Selects the entries that the directory returns to a caller: those of the
 * caller's data centre if there are enough to survive the loss of one, else
 * those of its region, else all.
 */
import type { EntryRecord } from "./steering_config.ts";

/** With fewer entries a caller would have no second choice. */
const MIN_LOCAL_ENTRIES = 2;
/** Maximum number of addresses in an answer. */
const MAX_ADDRESSES = 64;

/** Location of a caller. */
export interface CallerLocation {
  region: string;
  dataCentre: string;
}

/** Selects caller addresses (`ip:port`) for a location from the live entries. */
export function selectEntries(
  location: CallerLocation,
  live: readonly EntryRecord[],
): string[] {
  const near = live.filter((entry) => entry.dataCentre === location.dataCentre);
  const region = live.filter((entry) => entry.region === location.region);
  const chosen = near.length >= MIN_LOCAL_ENTRIES
    ? near
    : region.length > 0
    ? region
    : live;
  return chosen.slice(0, MAX_ADDRESSES).map((entry) => entry.callerAddress);
}
