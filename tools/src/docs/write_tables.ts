/**
 * Writes the tables of docs that follow from the code: result codes and
 * metrics. `npm run docs` rewrites them; with `--check` it only compares.
 */
import { readFile, writeFile } from "node:fs/promises";
import process from "node:process";
import { ResultCode } from "@bamboolane/errors/result_code";
import {
  COUNTER_DESCRIPTIONS,
  GAUGE_DESCRIPTIONS,
  HISTOGRAM_DESCRIPTIONS,
} from "@bamboolane/metrics/create_metrics";

const resultCodeFile = "docs/RESULT-CODES.md";
const metricsFile = "docs/METRICS.md";

function tableOf(rows: string[][]): string {
  const [heading, ...rest] = rows.map((row) => `| ${row.join(" | ")} |`);
  const rule = `|${rows[0].map(() => " --- ").join("|")}|`;
  return [heading, rule, ...rest].join("\n");
}

/** The page of result codes. */
export function resultCodePage(): string {
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
    tableOf([
      ["code", "name", "HTTP", "outcome", "meaning", "what to do"],
      ...rows,
    ])
  }
`;
}

/** The page of metrics. */
export function metricsPage(): string {
  const rows = (kind: string, items: Record<string, string>, unit: string) =>
    Object.entries(items).map(([name, text]) => [name, kind, unit, text]);
  return `# What can be scraped?

Each entry serves OpenTelemetry metrics in Prometheus' text form at
\`listen.metrics\`, path \`/metrics\`. Counters get the suffix \`_total\`.

${
    tableOf([
      ["name", "kind", "unit", "meaning"],
      ...rows("counter", COUNTER_DESCRIPTIONS, "count"),
      ...rows("histogram", HISTOGRAM_DESCRIPTIONS, "milliseconds"),
      ...rows("gauge", GAUGE_DESCRIPTIONS, "see meaning"),
    ])
  }
`;
}

const pages = {
  [resultCodeFile]: resultCodePage(),
  [metricsFile]: metricsPage(),
};
let stale = 0;
for (const [file, text] of Object.entries(pages)) {
  const known = await readFile(file, "utf8").catch(() => "");
  if (known === text) continue;
  stale++;
  if (process.argv.includes("--check")) {
    process.stdout.write(`${file} is stale: npm run docs\n`);
  } else await writeFile(file, text);
}
process.exit(process.argv.includes("--check") && stale > 0 ? 1 : 0);
