/**
 * Generates the pages of result codes and metrics from the code. `npm run docs`
 * rewrites them; `--check` only compares and exits with 1 if one is stale.
 */
import { readFile, writeFile } from "node:fs/promises";
import process from "node:process";
import { ResultCode } from "@bamboolane/errors/result_code";
import {
  COUNTER_DESCRIPTIONS,
  GAUGE_DESCRIPTIONS,
  HISTOGRAM_DESCRIPTIONS,
} from "@bamboolane/metrics/create_metrics";

const RESULT_CODES_FILE = "docs/RESULT-CODES.md";
const METRICS_FILE = "docs/METRICS.md";

/** Formats rows, the heading first, as a Markdown table. */
function formatTable(rows: string[][]): string {
  const [heading, ...rest] = rows.map((row) => `| ${row.join(" | ")} |`);
  const separator = `|${rows[0].map(() => " --- ").join("|")}|`;
  return [heading, separator, ...rest].join("\n");
}

/** Formats the page of result codes. */
export function formatResultCodePage(): string {
  const rows = Object.values(ResultCode).map((info) => [
    String(info.code),
    info.name,
    String(info.status),
    info.outcome,
    info.meaning,
    info.remedy || "-",
  ]);
  return `# Which answers does the system itself give?

Every answer carries \`bamboolane-code\` and \`bamboolane-outcome\`; an answer of
the system's own also has a JSON body with code, result, outcome, error and
remedy. Outcomes: *ran*, *not-run* (proven: nothing reached a target, or the
target refused in the declared form), *unknown*.

${
    formatTable([
      ["code", "name", "HTTP", "outcome", "meaning", "what to do"],
      ...rows,
    ])
  }
`;
}

/** Formats the page of metrics. */
export function formatMetricsPage(): string {
  const rows = (kind: string, items: Record<string, string>, unit: string) =>
    Object.entries(items).map(([name, text]) => [name, kind, unit, text]);
  return `# What can be scraped?

Each entry serves OpenTelemetry metrics in Prometheus' text form at
\`listen.metrics\`, path \`/metrics\`. Counters get the suffix \`_total\`.

${
    formatTable([
      ["name", "kind", "unit", "meaning"],
      ...rows("counter", COUNTER_DESCRIPTIONS, "count"),
      ...rows("histogram", HISTOGRAM_DESCRIPTIONS, "milliseconds"),
      ...rows("gauge", GAUGE_DESCRIPTIONS, "see meaning"),
    ])
  }
`;
}

const PAGES = {
  [RESULT_CODES_FILE]: formatResultCodePage(),
  [METRICS_FILE]: formatMetricsPage(),
};
let stale = 0;
for (const [file, text] of Object.entries(PAGES)) {
  const current = await readFile(file, "utf8").catch(() => "");
  if (current === text) continue;
  stale++;
  if (process.argv.includes("--check")) {
    process.stdout.write(`${file} is stale: npm run docs\n`);
  } else await writeFile(file, text);
}
process.exit(process.argv.includes("--check") && stale > 0 ? 1 : 0);
