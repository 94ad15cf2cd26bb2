/**
 * Renders a member's report as one self-contained HTML page with plots.
 */
import type { MemberReport, ReportRow } from "./assemble_report.ts";

const PLOT_WIDTH_PIXELS = 520;
const BAR_HEIGHT_PIXELS = 18;
const LABEL_WIDTH_PIXELS = 190;

function escapeHtml(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(
    ">",
    "&gt;",
  )
    .replaceAll('"', "&quot;");
}

function formatNumber(value: number | null, digits: number): string {
  return value === null || !Number.isFinite(value)
    ? "overloaded"
    : value.toFixed(digits);
}

interface Bar {
  label: string;
  shared: number;
  /** Null if the share can't serve the work; drawn as long as the longest bar. */
  alone: number | null;
}

function renderBars(title: string, bars: Bar[]): string {
  const finite = bars.flatMap((b) => [b.shared, b.alone ?? 0]).filter((v) =>
    Number.isFinite(v)
  );
  const scale = (PLOT_WIDTH_PIXELS - LABEL_WIDTH_PIXELS) /
    Math.max(1e-9, ...finite);
  const rows = bars.map((bar, index) => {
    const y = index * (2 * BAR_HEIGHT_PIXELS + 10);
    const alone = bar.alone ?? Math.max(...finite);
    return `<text x="0" y="${y + 20}">${escapeHtml(bar.label)}</text>` +
      `<rect x="${LABEL_WIDTH_PIXELS}" y="${y}" width="${
        bar.shared * scale
      }" height="${BAR_HEIGHT_PIXELS}" fill="#2a6f97"/>` +
      `<rect x="${LABEL_WIDTH_PIXELS}" y="${y + BAR_HEIGHT_PIXELS}" width="${
        alone * scale
      }" height="${BAR_HEIGHT_PIXELS}" fill="#c9a227"/>`;
  });
  const height = bars.length * (2 * BAR_HEIGHT_PIXELS + 10);
  return `<h2>${
    escapeHtml(title)
  }</h2><p><b style="color:#2a6f97">shared</b> · ` +
    `<b style="color:#c9a227">alone</b></p>` +
    `<svg width="${PLOT_WIDTH_PIXELS}" height="${height}" role="img">${
      rows.join("")
    }</svg>`;
}

function renderRow(row: ReportRow): string {
  const cells = [
    row.service,
    row.lane,
    String(row.served),
    formatNumber(row.p50Millis, 0),
    formatNumber(row.p99Millis, 0),
    String(row.refused),
    String(row.unknown),
    formatNumber(row.slotSeconds, 1),
    formatNumber(row.cost, 2),
    formatNumber(row.aloneP99Millis, 0),
    formatNumber(row.aloneCost, 2),
  ];
  return `<tr>${
    cells.map((cell) => `<td>${escapeHtml(cell)}</td>`).join("")
  }</tr>`;
}

const COLUMN_HEADINGS = [
  "service",
  "lane",
  "served",
  "p50 ms",
  "p99 ms",
  "refused",
  "in doubt",
  "slot-seconds",
  "cost",
  "alone p99 ms",
  "alone cost",
];

/** Renders the report as an HTML page. */
export function renderReport(report: MemberReport): string {
  const from = new Date(report.fromMillis).toISOString();
  const to = new Date(report.toMillis).toISOString();
  const label = (row: ReportRow) => `${row.service} (${row.lane})`;
  const exceptions = report.exceptions.map((e) =>
    `<li><b>${escapeHtml(e.id)}</b>: ${escapeHtml(e.reason)} (${
      escapeHtml(e.owner)
    })</li>`
  );
  return `<!doctype html><html lang="en"><head><meta charset="utf-8">
<title>${escapeHtml(report.member)}</title>
<style>body{font:15px sans-serif;margin:2em;max-width:70em}td,th{padding:.3em .6em;text-align:right;border-bottom:1px solid #ccc}td:first-child,td:nth-child(2){text-align:left}</style>
</head><body><h1>${escapeHtml(report.member)}</h1><p>${from} to ${to}</p>
<table><tr>${COLUMN_HEADINGS.map((h) => `<th>${h}</th>`).join("")}</tr>
${report.rows.map(renderRow).join("\n")}</table>
<p>Total cost ${report.totalCost.toFixed(2)}; alone ${
    report.totalAloneCost.toFixed(2)
  }.</p>
${
    renderBars(
      "99th percentile, ms",
      report.rows.map((row) => ({
        label: label(row),
        shared: row.p99Millis,
        alone: row.aloneP99Millis,
      })),
    )
  }
${
    renderBars(
      "Cost",
      report.rows.map((row) => ({
        label: label(row),
        shared: row.cost,
        alone: row.aloneCost,
      })),
    )
  }
<h2>Exceptions that touched this member</h2><ul>${
    exceptions.join("") || "<li>none</li>"
  }</ul>
</body></html>
`;
}
