/**
 * Renders a member's report as one self-contained HTML page with plots.
 */
import type { MemberReport, ReportRow } from "./assemble_report.ts";

const plotWidth = 520;
const barHeight = 18;
const labelWidth = 190;

function escapeHtml(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(
    ">",
    "&gt;",
  )
    .replaceAll('"', "&quot;");
}

function shown(value: number | null, digits: number): string {
  return value === null || !Number.isFinite(value)
    ? "overloaded"
    : value.toFixed(digits);
}

interface Bar {
  label: string;
  shared: number;
  alone: number | null;
}

function renderBars(title: string, bars: Bar[]): string {
  const finite = bars.flatMap((b) => [b.shared, b.alone ?? 0]).filter((v) =>
    Number.isFinite(v)
  );
  const scale = (plotWidth - labelWidth) / Math.max(1e-9, ...finite);
  const rows = bars.map((bar, index) => {
    const y = index * (2 * barHeight + 10);
    const alone = bar.alone ?? Math.max(...finite);
    return `<text x="0" y="${y + 20}">${escapeHtml(bar.label)}</text>` +
      `<rect x="${labelWidth}" y="${y}" width="${
        bar.shared * scale
      }" height="${barHeight}" fill="#2a6f97"/>` +
      `<rect x="${labelWidth}" y="${y + barHeight}" width="${
        alone * scale
      }" height="${barHeight}" fill="#c9a227"/>`;
  });
  const height = bars.length * (2 * barHeight + 10);
  return `<h2>${
    escapeHtml(title)
  }</h2><p><b style="color:#2a6f97">shared</b> · ` +
    `<b style="color:#c9a227">alone</b></p>` +
    `<svg width="${plotWidth}" height="${height}" role="img">${
      rows.join("")
    }</svg>`;
}

function renderRow(row: ReportRow): string {
  const cells = [
    row.service,
    row.lane,
    String(row.served),
    shown(row.p50Millis, 0),
    shown(row.p99Millis, 0),
    String(row.refused),
    String(row.unknown),
    shown(row.slotSeconds, 1),
    shown(row.cost, 2),
    shown(row.aloneP99Millis, 0),
    shown(row.aloneCost, 2),
  ];
  return `<tr>${
    cells.map((cell) => `<td>${escapeHtml(cell)}</td>`).join("")
  }</tr>`;
}

const headings = [
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

/** Renders the page. */
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
<table><tr>${headings.map((h) => `<th>${h}</th>`).join("")}</tr>
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
