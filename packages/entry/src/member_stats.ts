/**
 * Statistics of the requests served for each member, for the report to its
 * board. They are kept in memory and written periodically to the table, one row
 * per member and incarnation.
 */
import {
  build,
  encodeIntoCompressedBase64,
  type Histogram,
} from "hdr-histogram-js";
import type { Lane } from "@bamboolane/types/fleet";
import type {
  LaneStats,
  MemberStatsValue,
} from "@bamboolane/report/assemble_report";

const MAX_RECORDED_MILLIS = 3_600_000;
/** The requests of further groups are not counted. */
const MAX_GROUPS = 10_000;

/** Statistics of one member's requests to one service in one lane. */
interface Group {
  member: string;
  service: string;
  lane: Lane;
  served: number;
  /** Total time that the requests occupied slots. */
  slotMillis: number;
  /** Number of requests by result. */
  results: Map<string, number>;
  /** Durations of served requests. Unit: milliseconds. */
  histogram: Histogram;
}

/** Statistics of all members at one instance. */
export class MemberStats {
  readonly #groups = new Map<string, Group>();
  readonly #startedAtMillis: number;

  constructor(options: { wallMillis: number }) {
    this.#startedAtMillis = options.wallMillis;
  }

  /**
   * Counts one answered or refused request; the duration is recorded only for a
   * served one.
   */
  count(
    key: { member: string; service: string; lane: Lane },
    options: { result: string; durationMillis: number; served: boolean },
  ): void {
    const group = this.#group(key);
    if (group === undefined) return;
    group.results.set(
      options.result,
      (group.results.get(options.result) ?? 0) + 1,
    );
    if (!options.served) return;
    group.served++;
    group.histogram.recordValue(
      Math.min(
        MAX_RECORDED_MILLIS,
        Math.max(1, Math.round(options.durationMillis)),
      ),
    );
  }

  /** Adds the time that a request occupied a slot. */
  addSlotTime(
    key: { member: string; service: string; lane: Lane },
    slotMillis: number,
  ): void {
    const group = this.#group(key);
    if (group !== undefined) group.slotMillis += slotMillis;
  }

  /** The statistics of one member in stored form. */
  export(member: string, options: { wallMillis: number }): MemberStatsValue {
    const lanes: LaneStats[] = [];
    for (const group of this.#groups.values()) {
      if (group.member !== member) continue;
      lanes.push({
        service: group.service,
        lane: group.lane,
        served: group.served,
        slotMillis: group.slotMillis,
        results: Object.fromEntries(group.results),
        histogram: encodeIntoCompressedBase64(group.histogram),
      });
    }
    return {
      member,
      fromMillis: this.#startedAtMillis,
      toMillis: options.wallMillis,
      lanes,
    };
  }

  /** Members that have statistics. */
  members(): string[] {
    return [
      ...new Set([...this.#groups.values()].map((group) => group.member)),
    ];
  }

  #group(
    key: { member: string; service: string; lane: Lane },
  ): Group | undefined {
    const id = `${key.member}/${key.service}/${key.lane}`;
    const known = this.#groups.get(id);
    if (known !== undefined || this.#groups.size >= MAX_GROUPS) return known;
    const group: Group = {
      ...key,
      served: 0,
      slotMillis: 0,
      results: new Map(),
      histogram: build({
        numberOfSignificantValueDigits: 2,
        highestTrackableValue: MAX_RECORDED_MILLIS,
      }),
    };
    this.#groups.set(id, group);
    return group;
  }
}
