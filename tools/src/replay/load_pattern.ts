/**
 * Load patterns that a replay plays: who calls from where, what the work is
 * like, and what goes wrong. The sizes are those of the users' heavy days: a
 * region with a sixth of the slots and a third of the callers, and one and a
 * half times the work that all slots can do cold.
 */

/** A region with its entries, targets and callers. */
export interface RegionPattern {
  name: string;
  entries: number;
  targets: number;
  requestsPerSecond: number;
}

/** Something that happens during a replay. */
export type PatternEvent =
  /** Callers of all regions press `factor` times as much. */
  | { kind: "burst"; fromMillis: number; toMillis: number; factor: number }
  /** A share of one region's callers come from another one. */
  | {
    kind: "shift";
    fromMillis: number;
    toMillis: number;
    from: string;
    to: string;
    share: number;
  }
  /** A share of the targets works `factor` times as long. */
  | {
    kind: "slow";
    fromMillis: number;
    toMillis: number;
    share: number;
    factor: number;
  }
  /** Targets of a region refuse everything and come back knowing no object. */
  | { kind: "lost"; fromMillis: number; toMillis: number; region: string }
  /** All entries forget what they believe. */
  | { kind: "restart"; atMillis: number }
  /** A share of the callers come back at once and more often. */
  | { kind: "abuse"; fromMillis: number; toMillis: number; share: number };

/** One pattern. */
export interface LoadPattern {
  name: string;
  regions: readonly RegionPattern[];
  slots: number;
  /** Requests that a target queues beyond its slots. */
  queue: number;
  /** Objects of one region's callers. */
  objects: number;
  /** Part of the calls that ask for an object of the caller's own region. */
  atHomeShare: number;
  /** Objects that a target works faster for. */
  objectsKept: number;
  workMillis: number;
  /** Part of the work that is left for a kept object. */
  warmShare: number;
  /** Spread of the work, and its tail: share and factor. */
  spread: number;
  tail: { share: number; factor: number };
  objectiveMillis: number;
  deadlineMillis: number;
  /** Times that a refused caller comes back. */
  returns: number;
  /** One way. Unit: milliseconds. */
  betweenRegionsMillis: number;
  lengthMillis: number;
  events: readonly PatternEvent[];
}

const heavy: LoadPattern = {
  name: "heavy",
  regions: [
    { name: "a", entries: 3, targets: 2, requestsPerSecond: 90 },
    { name: "b", entries: 3, targets: 5, requestsPerSecond: 90 },
    { name: "c", entries: 2, targets: 5, requestsPerSecond: 90 },
  ],
  slots: 3,
  queue: 9,
  objects: 98,
  atHomeShare: 0.83,
  objectsKept: 30,
  workMillis: 200,
  warmShare: 0.3,
  spread: 0.15,
  tail: { share: 0.03, factor: 7 },
  objectiveMillis: 300,
  deadlineMillis: 1200,
  returns: 1,
  betweenRegionsMillis: 55,
  lengthMillis: 40_000,
  events: [],
};

/** All patterns, by name. */
export const loadPatterns: readonly LoadPattern[] = [
  heavy,
  {
    ...heavy,
    name: "calm",
    regions: heavy.regions.map((region) => ({
      ...region,
      requestsPerSecond: 40,
    })),
  },
  {
    ...heavy,
    name: "burst",
    events: [
      { kind: "burst", fromMillis: 12_000, toMillis: 17_000, factor: 1.7 },
    ],
  },
  {
    ...heavy,
    name: "shift",
    events: [{
      kind: "shift",
      fromMillis: 12_000,
      toMillis: 20_000,
      from: "b",
      to: "a",
      share: 0.7,
    }],
  },
  {
    ...heavy,
    name: "slow",
    events: [{
      kind: "slow",
      fromMillis: 12_000,
      toMillis: 20_000,
      share: 0.25,
      factor: 5,
    }],
  },
  {
    ...heavy,
    name: "region lost",
    events: [
      { kind: "lost", fromMillis: 12_000, toMillis: 18_000, region: "b" },
    ],
  },
  {
    ...heavy,
    name: "restart",
    events: [{ kind: "restart", atMillis: 20_000 }],
  },
  {
    ...heavy,
    name: "abuse",
    events: [
      { kind: "abuse", fromMillis: 12_000, toMillis: 20_000, share: 0.3 },
    ],
  },
];
