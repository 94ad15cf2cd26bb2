/**
 * `bamboolane explain`: shows why a request was, or would be, routed as it is.
 */
import type { CommandModule } from "yargs";
import { withOperatorOptions } from "../../common_options.ts";
import { type Fields, formatExplanation } from "../../format_explanation.ts";
import { callOperator } from "../../operator_client.ts";
import { type OutputFormat, printResult } from "../../print_result.ts";

interface ExplainArgs {
  request?: string;
  member?: string;
  service?: string;
  client?: string;
  path: string;
  method: string;
  operator: string;
  output: OutputFormat;
}

/** The command. */
export const explainCommand: CommandModule = {
  command: "explain",
  describe: "show why a request was, or would be, routed as it is",
  builder: (args) =>
    withOperatorOptions(args)
      .option("request", {
        type: "string",
        describe: "id of a request that this entry routed",
      })
      .option("member", { type: "string" })
      .option("service", { type: "string" })
      .option("client", { type: "string", describe: "client address" })
      .option("path", { type: "string", default: "/" })
      .option("method", { type: "string", default: "GET" }),
  handler: async (raw) => {
    const args = raw as unknown as ExplainArgs;
    const query = new URLSearchParams();
    for (
      const name of [
        "request",
        "member",
        "service",
        "client",
        "path",
        "method",
      ] as const
    ) {
      const value = args[name];
      if (value !== undefined) query.set(name, value);
    }
    const value = await callOperator<Fields>(args, {
      method: "GET",
      path: `/v1/explain?${query}`,
    });
    printResult(value, { output: args.output, toText: formatExplanation });
  },
};
