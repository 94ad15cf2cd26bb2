/**
 * Versions of the store's state. A store that is restored from a copy counts its
 * versions on from the copy, so these are comparable only within one era, the time
 * between two restores. A state version combines era and version in one number
 * that never decreases.
 */

/** Upper bound of the store's own versions. */
const VERSIONS_PER_ERA = 2 ** 40;
/** Upper bound below which the halves between two versions are exact too. */
const MAX_STATE_VERSION = 2 ** 52;

/** The parts of a state version. */
export interface VersionParts {
  /** Number of restores of the store. */
  era: number;
  /** Version that the store itself counts. */
  version: number;
}

/** Combines era and version; throws if the result can't be represented exactly. */
export function toStateVersion({ era, version }: VersionParts): number {
  const combined = era * VERSIONS_PER_ERA + version;
  if (version >= VERSIONS_PER_ERA || !(combined < MAX_STATE_VERSION)) {
    throw new RangeError(`no state version: era ${era}, version ${version}`);
  }
  return combined;
}

/** Era of a state version. */
export function eraOf(stateVersion: number): number {
  return Math.floor(stateVersion / VERSIONS_PER_ERA);
}

/** Version that the store itself counts. */
export function storeVersionOf(stateVersion: number): number {
  return stateVersion % VERSIONS_PER_ERA;
}

/** Formats a state version for log lines: `era/version`, without the era if it is 0. */
export function formatStateVersion(stateVersion: number): string | number {
  const era = eraOf(stateVersion);
  const version = storeVersionOf(stateVersion);
  return era === 0 ? version : `${era}/${version}`;
}
