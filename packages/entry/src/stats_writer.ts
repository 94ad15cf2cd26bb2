/**
 * Writes members' statistics behind to the table, one row per member and
 * incarnation, so that reports outlive instances.
 */
import type { MemberStatsValue } from "@bamboolane/report/assemble_report";
import type { Platform } from "@bamboolane/platform/ports";
import type { EntryContext } from "./context.ts";
import type { MemberStats } from "./member_stats.ts";

/** Prefix of a member's rows. */
export function statsPrefix(member: string): string {
  return `stats/${member}/`;
}

const writeEveryMillis = 60_000;
const scanRows = 500;

/** Options of {@link StatsWriter}. */
export interface StatsWriterOptions {
  context: EntryContext;
  platform: Platform;
  stats: MemberStats;
  incarnation: number;
}

/** Writes statistics at intervals and once more at the end. */
export class StatsWriter {
  readonly #options: StatsWriterOptions;
  readonly #versions = new Map<string, number>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: StatsWriterOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(() => this.write(), writeEveryMillis);
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await this.write();
  }

  /** Writes all members in one transaction. */
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
      // A lost answer left the rows newer than known here; the next write fits.
      for (const row of result.rows) {
        this.#versions.set(row.key.split("/")[1], row.version);
      }
    } catch (error) {
      context.log.warn("stats_write_failed", { reason: String(error) });
    }
  }

  /** Reads a member's rows of all incarnations, this one's from memory. */
  async read(member: string): Promise<MemberStatsValue[]> {
    const { stats, platform, context } = this.#options;
    const own = stats.export(member, {
      wallMillis: context.clock.wallMillis(),
    });
    const rows = await platform.table.scan(statsPrefix(member), "", {
      limit: scanRows,
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
