/**
 * Formats a member's report as text.
 */
import type { MemberReport, ReportRow } from "./assemble_report.ts";

function formatMillis(value: number | null): string {
  // JSON has no Infinity: null means that the share can't serve the work.
  return value === null || !Number.isFinite(value)
    ? "overloaded"
    : `${Math.round(value)} ms`;
}

function formatRow(row: ReportRow): string {
  return `  ${row.service} (${row.lane}): served ${row.served}, p50 ${
    formatMillis(row.p50Millis)
  }, ` +
    `p99 ${
      formatMillis(row.p99Millis)
    }, refused ${row.refused}, in doubt ${row.unknown}, ` +
    `${row.slotSeconds.toFixed(1)} slot-seconds, cost ${
      row.cost.toFixed(2)
    }; ` +
    `alone: p99 ${formatMillis(row.aloneP99Millis)}, cost ${
      row.aloneCost.toFixed(2)
    }`;
}

/** Formats the report as lines of text. */
export function formatReport(report: MemberReport): string {
  const from = new Date(report.fromMillis).toISOString();
  const to = new Date(report.toMillis).toISOString();
  const exceptions = report.exceptions.map((e) =>
    `  ${e.id}: ${e.reason} (${e.owner}${
      e.until === undefined ? "" : `, until ${e.until}`
    })`
  );
  return [
    `${report.member}, ${from} to ${to}`,
    ...report.rows.map(formatRow),
    `total cost ${report.totalCost.toFixed(2)}, alone ${
      report.totalAloneCost.toFixed(2)
    }`,
    "exceptions that touched this member:",
    ...(exceptions.length === 0 ? ["  none"] : exceptions),
  ].join("\n");
}
