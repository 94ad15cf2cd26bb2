/**
 * Assembles a member's report from stored statistics: requests served,
 * latencies and cost, with an estimate of latency and cost if the same work ran
 * alone on the member's own share of the targets.
 */
import {
  build,
  decodeFromCompressedBase64,
  type Histogram,
} from "hdr-histogram-js";
import type {
  FleetConfig,
  FleetException,
  Lane,
} from "@bamboolane/types/fleet";
import { estimateAlone } from "./estimate_alone.ts";

/** Statistics of one member for one service and lane at one instance. */
export interface LaneStats {
  service: string;
  lane: Lane;
  served: number;
  /** Total time for which the requests held slots. */
  slotMillis: number;
  /** Number of answers by result name. */
  results: Record<string, number>;
  /** Compressed, base64-encoded histogram of durations. Unit: milliseconds. */
  histogram: string;
}

/** Stored statistics of one member at one instance over a period. */
export interface MemberStatsValue {
  member: string;
  /** Start of the period, in milliseconds since the Unix epoch. */
  fromMillis: number;
  /** End of the period, in milliseconds since the Unix epoch. */
  toMillis: number;
  lanes: LaneStats[];
}

/** One row of the report: a service and lane. */
export interface ReportRow {
  service: string;
  lane: Lane;
  served: number;
  p50Millis: number;
  p99Millis: number;
  /** Number of answers whose outcome is "not run". */
  refused: number;
  /** Number of answers whose outcome is unknown. */
  unknown: number;
  /** Total time for which the requests held slots. */
  slotSeconds: number;
  cost: number;
  /** Estimate on the own share; infinite if the share can't serve the work. */
  aloneP99Millis: number;
  /** Cost of the own share over the whole period, whether used or not. */
  aloneCost: number;
  /** Offered load divided by the slots of the own share. */
  aloneUtilisation: number;
}

/** A member's report. */
export interface MemberReport {
  member: string;
  fromMillis: number;
  toMillis: number;
  rows: ReportRow[];
  totalCost: number;
  totalAloneCost: number;
  /** Exceptions that match this member or all members. */
  exceptions: FleetException[];
}

interface MergedLane {
  service: string;
  lane: Lane;
  served: number;
  slotMillis: number;
  results: Map<string, number>;
  histogram: Histogram;
}

function mergeLanes(values: MemberStatsValue[]): MergedLane[] {
  const merged = new Map<string, MergedLane>();
  for (const stats of values.flatMap((value) => value.lanes)) {
    const key = `${stats.service}/${stats.lane}`;
    const total = merged.get(key) ?? {
      service: stats.service,
      lane: stats.lane,
      served: 0,
      slotMillis: 0,
      results: new Map<string, number>(),
      histogram: build({ numberOfSignificantValueDigits: 2 }),
    };
    total.served += stats.served;
    total.slotMillis += stats.slotMillis;
    for (const [name, count] of Object.entries(stats.results)) {
      total.results.set(name, (total.results.get(name) ?? 0) + count);
    }
    total.histogram.add(decodeFromCompressedBase64(stats.histogram, 64));
    merged.set(key, total);
  }
  return [...merged.values()].sort((a, b) => a.service < b.service ? -1 : 1);
}

function sumResults(
  results: Map<string, number>,
  names: ReadonlySet<string>,
): number {
  let sum = 0;
  for (const [name, count] of results) if (names.has(name)) sum += count;
  return sum;
}

/** Result names by outcome. */
export interface OutcomeResultNames {
  notRun: ReadonlySet<string>;
  unknown: ReadonlySet<string>;
}

/** Assembles the report of one member. */
export function assembleReport(
  member: string,
  values: MemberStatsValue[],
  options: { fleet: FleetConfig; resultNames: OutcomeResultNames },
): MemberReport {
  const { fleet, resultNames } = options;
  const config = fleet.members.find((m) => m.id === member);
  const ownShare = config?.ownShare ?? 0;
  const price = config?.costPerSlotSecond ?? 0;
  const fromMillis = Math.min(...values.map((v) => v.fromMillis));
  const toMillis = Math.max(...values.map((v) => v.toMillis));
  const rows = mergeLanes(values).map((item): ReportRow => {
    const service = fleet.services.find((s) => s.id === item.service);
    const slots = service?.targets.reduce((sum, t) => sum + t.slots, 0) ?? 0;
    const spanSeconds = Math.max(1, (toMillis - fromMillis) / 1000);
    const slotSeconds = item.slotMillis / 1000;
    const alone = estimateAlone({
      slots: slots * ownShare,
      spanSeconds,
      slotSeconds,
      served: item.served,
      p99Millis: item.histogram.getValueAtPercentile(99),
    });
    return {
      service: item.service,
      lane: item.lane,
      served: item.served,
      p50Millis: item.histogram.getValueAtPercentile(50),
      p99Millis: item.histogram.getValueAtPercentile(99),
      refused: sumResults(item.results, resultNames.notRun),
      unknown: sumResults(item.results, resultNames.unknown),
      slotSeconds,
      cost: slotSeconds * price,
      aloneP99Millis: alone.p99Millis,
      aloneCost: slots * ownShare * spanSeconds * price,
      aloneUtilisation: alone.utilisation,
    };
  });
  return {
    member,
    fromMillis,
    toMillis,
    rows,
    totalCost: rows.reduce((sum, row) => sum + row.cost, 0),
    totalAloneCost: rows.reduce((sum, row) => sum + row.aloneCost, 0),
    exceptions: fleet.exceptions.filter((e) =>
      e.match.member === undefined || e.match.member === member
    ),
  };
}
