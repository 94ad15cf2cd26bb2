/**
 * Load patterns for replays: the regions with their callers and targets, the
 * distribution of work times, and the disturbances. The sizes are taken from
 * the users' days of heavy load: one region has a sixth of the slots and a
 * third of the callers, and the offered work is one and a half times what all
 * slots can do with cold caches.
 */

/** A region with its entries, targets and callers. */
export interface RegionPattern {
  name: string;
  entries: number;
  targets: number;
  /** Calls that the region's callers start, without retries. */
  requestsPerSecond: number;
}

/** A disturbance during a replay. */
export type PatternEvent =
  /** The request rate of all regions is multiplied by `factor`. */
  | { kind: "burst"; fromMillis: number; toMillis: number; factor: number }
  /** A share of the callers of region `from` calls from region `to` instead. */
  | {
    kind: "shift";
    fromMillis: number;
    toMillis: number;
    from: string;
    to: string;
    share: number;
  }
  /** A share of the targets takes `factor` times as long for each request. */
  | {
    kind: "slow";
    fromMillis: number;
    toMillis: number;
    share: number;
    factor: number;
  }
  /** The targets of a region refuse everything, then return with empty caches. */
  | { kind: "lost"; fromMillis: number; toMillis: number; region: string }
  /** All entries restart and lose their learned state. */
  | { kind: "restart"; atMillis: number }
  /** A share of the callers retries immediately and more often. */
  | { kind: "abuse"; fromMillis: number; toMillis: number; share: number };

/** A load pattern. */
export interface LoadPattern {
  name: string;
  regions: readonly RegionPattern[];
  /** Slots of each target. */
  slots: number;
  /** Requests that a target queues beyond its slots. */
  queueLimit: number;
  /** Objects that belong to each region. */
  objectsPerRegion: number;
  /** Share of the calls for an object of the caller's own region. */
  ownRegionShare: number;
  /** Objects that a target caches; requests for them need less work. */
  cacheCapacity: number;
  /** Work time of a request for an object that isn't cached. */
  workMillis: number;
  /** Share of the work time that a cached object needs. */
  warmWorkShare: number;
  /** Work times vary uniformly by this share, up and down. */
  spread: number;
  /** A share of the requests takes `factor` times as long. */
  tail: { share: number; factor: number };
  /** Latency objective. */
  objectiveMillis: number;
  /** Time that a caller waits for its call, including retries. */
  deadlineMillis: number;
  /**
   * Maximum number of retries of a refused call; callers in an `abuse` event make
   * up to four times as many.
   */
  maxRetries: number;
  /** One-way latency between regions. */
  interRegionMillis: number;
  /** Time during which calls arrive. */
  durationMillis: number;
  events: readonly PatternEvent[];
}

const HEAVY_PATTERN: LoadPattern = {
  name: "heavy",
  regions: [
    { name: "a", entries: 3, targets: 2, requestsPerSecond: 90 },
    { name: "b", entries: 3, targets: 5, requestsPerSecond: 90 },
    { name: "c", entries: 2, targets: 5, requestsPerSecond: 90 },
  ],
  slots: 3,
  queueLimit: 9,
  objectsPerRegion: 98,
  ownRegionShare: 0.83,
  cacheCapacity: 30,
  workMillis: 200,
  warmWorkShare: 0.3,
  spread: 0.15,
  tail: { share: 0.03, factor: 7 },
  objectiveMillis: 300,
  deadlineMillis: 1200,
  maxRetries: 1,
  interRegionMillis: 55,
  durationMillis: 40_000,
  events: [],
};

/** All patterns, by name. */
export const LOAD_PATTERNS: readonly LoadPattern[] = [
  HEAVY_PATTERN,
  {
    ...HEAVY_PATTERN,
    name: "calm",
    regions: HEAVY_PATTERN.regions.map((region) => ({
      ...region,
      requestsPerSecond: 40,
    })),
  },
  {
    ...HEAVY_PATTERN,
    name: "burst",
    events: [
      { kind: "burst", fromMillis: 12_000, toMillis: 17_000, factor: 1.7 },
    ],
  },
  {
    ...HEAVY_PATTERN,
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
    ...HEAVY_PATTERN,
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
    ...HEAVY_PATTERN,
    name: "region lost",
    events: [
      { kind: "lost", fromMillis: 12_000, toMillis: 18_000, region: "b" },
    ],
  },
  {
    ...HEAVY_PATTERN,
    name: "restart",
    events: [{ kind: "restart", atMillis: 20_000 }],
  },
  {
    ...HEAVY_PATTERN,
    name: "abuse",
    events: [
      { kind: "abuse", fromMillis: 12_000, toMillis: 20_000, share: 0.3 },
    ],
  },
];
