/**
 * Results of a replay.
 */

/** Outcomes of the calls from one region. */
export interface RegionResult {
  region: string;
  /** Calls started. */
  calls: number;
  /** Served within the objective, measured from the caller's first attempt. */
  inTime: number;
  /** Served after the objective, but before the deadline. */
  late: number;
  /** Refused, with no retry or no time left. */
  refused: number;
  /** Refused calls that had been retried before. */
  refusedAgain: number;
  /** Lost by a restart of the entry, or not answered by the deadline. */
  failed: number;
  /** Time from the first attempt to the answer, of served calls. */
  latenciesMillis: number[];
}

/** Result of one replay. */
export interface ReplayResult {
  regions: RegionResult[];
  /** Share of the runs whose object was cached at the target. */
  warmShare: number;
  /** Share of the busy slot time spent on requests whose deadline passed. */
  wastedShare: number;
  /** Runs of each region's requests in windows of 2 s. */
  windows: ReadonlyMap<string, readonly WindowRuns[]>;
}

/** Runs in one window: all, and those in other regions. */
export interface WindowRuns {
  total: number;
  remote: number;
}

/**
 * Largest change of the share of a region's runs that leave the region, from
 * one window to the next. Sums several replays, so that the result shows the
 * effect of the decisions rather than of random arrivals.
 */
export function largestShift(results: readonly ReplayResult[]): number {
  let largest = 0;
  for (const region of results[0].windows.keys()) {
    const shares: number[] = [];
    const columns = results.map(({ windows }) => windows.get(region) ?? []);
    const length = Math.min(...columns.map((windows) => windows.length));
    for (let i = 0; i < length; i++) {
      const total = columns.reduce((sum, windows) => sum + windows[i].total, 0);
      const remote = columns.reduce(
        (sum, windows) => sum + windows[i].remote,
        0,
      );
      shares.push(remote / Math.max(1, total));
    }
    for (let i = 1; i < shares.length; i++) {
      largest = Math.max(largest, Math.abs(shares[i] - shares[i - 1]));
    }
  }
  return largest;
}

/** Creates the result of a region without calls. */
export function createRegionResult(region: string): RegionResult {
  return {
    region,
    calls: 0,
    inTime: 0,
    late: 0,
    refused: 0,
    refusedAgain: 0,
    failed: 0,
    latenciesMillis: [],
  };
}
