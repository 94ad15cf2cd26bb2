/**
 * What a replay counts.
 */

/** What the callers of one region got. */
export interface RegionResult {
  region: string;
  asked: number;
  /** Within the objective, counted from the caller's first attempt. */
  inTime: number;
  late: number;
  refused: number;
  /** Of the refused, those that had come back before. */
  refusedAgain: number;
  failed: number;
  /** Time from the first attempt to the answer, of those served. */
  latenciesMillis: number[];
}

/** What one replay gave. */
export interface ReplayResult {
  regions: RegionResult[];
  /** Part of the runs that found their object known. */
  warmShare: number;
  /** Slot time spent on requests whose caller had given up, in parts of all. */
  wastedShare: number;
  /** Runs of each region's requests, by window of 2 s. */
  windows: ReadonlyMap<string, readonly WindowRuns[]>;
}

/** Runs in one window, and those of them in other regions. */
export interface WindowRuns {
  all: number;
  away: number;
}

/**
 * Largest change between two windows of the part of a region's runs that leave
 * it. Several replays are added up, so that it shows what the decisions do and
 * not which callers happened to call.
 */
export function largestShift(results: readonly ReplayResult[]): number {
  let largest = 0;
  for (const region of results[0].windows.keys()) {
    const shares: number[] = [];
    const columns = results.map(({ windows }) => windows.get(region) ?? []);
    const length = Math.min(...columns.map((windows) => windows.length));
    for (let i = 0; i < length; i++) {
      const all = columns.reduce((sum, windows) => sum + windows[i].all, 0);
      const away = columns.reduce((sum, windows) => sum + windows[i].away, 0);
      shares.push(away / Math.max(1, all));
    }
    for (let i = 1; i < shares.length; i++) {
      largest = Math.max(largest, Math.abs(shares[i] - shares[i - 1]));
    }
  }
  return largest;
}

/** A region without any call yet. */
export function emptyResult(region: string): RegionResult {
  return {
    region,
    asked: 0,
    inTime: 0,
    late: 0,
    refused: 0,
    refusedAgain: 0,
    failed: 0,
    latenciesMillis: [],
  };
}
