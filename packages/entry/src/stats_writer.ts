/**
 * Writes members' statistics periodically to the table, one row per member and
 * incarnation, so that they are still available for reports after an instance
 * has ended.
 */
import type { MemberStatsValue } from "@bamboolane/report/assemble_report";
import type { Platform } from "@bamboolane/platform/ports";
import type { EntryContext } from "./context.ts";
import type { MemberStats } from "./member_stats.ts";

/** Key prefix of a member's rows. */
export function statsPrefix(member: string): string {
  return `stats/${member}/`;
}

const WRITE_INTERVAL_MILLIS = 60_000;
const SCAN_LIMIT_ROWS = 500;

/** Options of {@link StatsWriter}. */
export interface StatsWriterOptions {
  context: EntryContext;
  platform: Platform;
  stats: MemberStats;
  incarnation: number;
}

/** Writes the statistics periodically and once more when stopped. */
export class StatsWriter {
  readonly #options: StatsWriterOptions;
  /** Version of each member's row that the next write expects. */
  readonly #versions = new Map<string, number>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: StatsWriterOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(() => this.write(), WRITE_INTERVAL_MILLIS);
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await this.write();
  }

  /** Writes the rows of all members in one transaction. */
  async write(): Promise<void> {
    const { stats, platform, context } = this.#options;
    const writes = stats.members().map((member) => ({
      key: this.#key(member),
      expectVersion: this.#versions.get(member) ?? 0,
      value: stats.export(member, { wallMillis: context.clock.wallMillis() }),
    }));
    if (writes.length === 0) return;
    try {
      const result = await platform.table.transact(writes);
      if (result.kind === "committed") {
        stats.members().forEach((member, i) =>
          this.#versions.set(member, result.versions[i])
        );
        return;
      }
      // An earlier write was committed but its answer was lost; the next write
      // uses the rows' current versions.
      for (const row of result.rows) {
        this.#versions.set(row.key.split("/")[1], row.version);
      }
    } catch (error) {
      context.log.warn("stats_write_failed", { reason: String(error) });
    }
  }

  /**
   * Returns a member's statistics of all incarnations, this one's from memory;
   * only this one's if the table is unavailable.
   */
  async read(member: string): Promise<MemberStatsValue[]> {
    const { stats, platform, context } = this.#options;
    const own = stats.export(member, {
      wallMillis: context.clock.wallMillis(),
    });
    const rows = await platform.table.scan(statsPrefix(member), "", {
      limit: SCAN_LIMIT_ROWS,
    })
      .catch(() => []);
    const others = rows.filter((row) => row.key !== this.#key(member));
    return [own, ...others.map((row) => row.value as MemberStatsValue)];
  }

  #key(member: string): string {
    const { context, incarnation } = this.#options;
    return `${
      statsPrefix(member)
    }${context.settings.instance.id}.${incarnation}`;
  }
}
