/**
 * `bamboolane report`: shows a member's report as text, JSON or HTML.
 */
import { writeFile } from "node:fs/promises";
import type { CommandModule } from "yargs";
import type { MemberReport } from "@bamboolane/report/assemble_report";
import { formatReport } from "@bamboolane/report/format_report";
import { renderReport } from "@bamboolane/report/render_report";
import { withOperatorOptions } from "../../common_options.ts";
import { callOperator } from "../../operator_client.ts";
import { type OutputFormat, printResult } from "../../print_result.ts";

interface ReportArgs {
  member: string;
  html?: string;
  operator: string;
  output: OutputFormat;
}

/** The command. */
export const reportCommand: CommandModule = {
  command: "report",
  describe: "show a member's report: requests, latencies, cost, exceptions",
  builder: (args) =>
    withOperatorOptions(args)
      .option("member", { type: "string", demandOption: true })
      .option("html", {
        type: "string",
        describe: "file for a self-contained HTML page of the report",
      }),
  handler: async (raw) => {
    const args = raw as unknown as ReportArgs;
    const report = await callOperator<MemberReport>(args, {
      method: "GET",
      path: `/v1/report?member=${encodeURIComponent(args.member)}`,
    });
    if (args.html !== undefined) {
      await writeFile(args.html, renderReport(report));
    }
    printResult(report, { output: args.output, toText: formatReport });
  },
};
