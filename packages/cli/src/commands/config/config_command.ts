/**
 * `bamboolane config`: checks, compares, publishes and lists configurations.
 */
import { readFile } from "node:fs/promises";
import type { Argv, CommandModule } from "yargs";
import type { HistoryEntry } from "@bamboolane/agree/read_revision";
import { parseBlocks } from "@bamboolane/config/parse_blocks";
import { formatProblem } from "@bamboolane/config/parse_yaml";
import { parseFleet } from "@bamboolane/config/parse_fleet";
import type { PublishResult } from "@bamboolane/entry/publish_and_wait";
import { ResultCode } from "@bamboolane/errors/result_code";
import { SteeringError } from "@bamboolane/errors/steering_error";
import type { ClientBlock, FleetConfig } from "@bamboolane/types/fleet";
import {
  withChangeOptions,
  withOperatorOptions,
} from "../../common_options.ts";
import { callOperator } from "../../operator_client.ts";
import { formatPublishResult } from "../../format_publish_result.ts";
import { formatTable, OutputFormat, printResult } from "../../print_result.ts";
import { diffValues, formatDifference } from "./diff_values.ts";

async function readDocument(
  file: string,
): Promise<{ text: string; fleet: FleetConfig }> {
  const text = await readFile(file, "utf8").catch((error) => {
    throw new SteeringError(ResultCode.badRequest, `${file}: ${error.message}`);
  });
  const parsed = parseFleet(text, { file });
  if (parsed.isOk()) return { text, fleet: parsed.value };
  const problems = parsed.error.map(formatProblem).join("\n");
  throw new SteeringError(ResultCode.invalidConfiguration, `\n${problems}`);
}

/**
 * Reads a block table: one `CIDR SITE` pair per line. Skips empty lines and
 * lines that start with `#`.
 */
async function readBlocks(file: string): Promise<ClientBlock[]> {
  const blocks = parseBlocks(await readFile(file, "utf8"), { file });
  if (blocks.isOk()) return blocks.value;
  throw new SteeringError(
    ResultCode.invalidConfiguration,
    blocks.error.map(formatProblem).join("\n"),
  );
}

const checkCommand = {
  command: "check <file>",
  describe: "check a fleet configuration without publishing it",
  builder: (args: Argv) =>
    args.positional("file", { type: "string", demandOption: true })
      .option("output", {
        choices: Object.values(OutputFormat),
        default: OutputFormat.text as OutputFormat,
      }),
  handler: async (args: { file: string; output: OutputFormat }) => {
    await readDocument(args.file);
    printResult({ file: args.file, valid: true }, {
      output: args.output,
      toText: (value) => `${value.file}: valid`,
    });
  },
};

const diffCommand = {
  command: "diff <file>",
  describe: "compare a file with the revision in force",
  builder: (args: Argv) =>
    withOperatorOptions(
      args.positional("file", { type: "string", demandOption: true }),
    ),
  handler: async (
    args: { file: string; output: OutputFormat; operator: string },
  ) => {
    const { fleet } = await readDocument(args.file);
    const current = await callOperator<
      { revision: number; fleet: FleetConfig }
    >(args, {
      method: "GET",
      path: "/v1/config",
    });
    const differences = diffValues(current.fleet, fleet);
    printResult({ revision: current.revision, differences }, {
      output: args.output,
      toText: (value) =>
        value.differences.map(formatDifference).join("\n") || "no differences",
    });
  },
};

interface PublishArgs {
  file: string;
  blocks?: string;
  summary?: string;
  changeId?: string;
  baseRevision?: number;
  operator: string;
  output: OutputFormat;
}

const publishCommand = {
  command: "publish <file>",
  describe: "publish a fleet configuration",
  builder: (args: Argv) =>
    withChangeOptions(
      args.positional("file", { type: "string", demandOption: true }),
    )
      .option("blocks", {
        type: "string",
        describe: "block table, one `CIDR SITE` pair per line",
      }),
  handler: async (args: PublishArgs) => {
    const { text } = await readDocument(args.file);
    const blocks = args.blocks === undefined
      ? undefined
      : await readBlocks(args.blocks);
    const result = await callOperator<PublishResult>(args, {
      method: "POST",
      path: "/v1/publish",
      body: {
        text,
        file: args.file,
        blocks,
        summary: args.summary,
        changeId: args.changeId,
        baseRevision: args.baseRevision,
      },
    });
    printResult(result, { output: args.output, toText: formatPublishResult });
  },
};

const historyCommand = {
  command: "history",
  describe: "list revisions, newest first",
  builder: (args: Argv) =>
    withOperatorOptions(args).option("limit", { type: "number", default: 20 }),
  handler: async (
    args: { limit: number; operator: string; output: OutputFormat },
  ) => {
    const entries = await callOperator<HistoryEntry[]>(args, {
      method: "GET",
      path: `/v1/history?limit=${args.limit}`,
    });
    const heading = ["REVISION", "OPERATOR", "CHANGE", "SUMMARY"];
    printResult(entries, {
      output: args.output,
      toText: (list) =>
        formatTable([
          heading,
          ...list.map((
            e,
          ) => [String(e.revision), e.operator, e.changeId, e.summary]),
        ]),
    });
  },
};

/** The command and its subcommands. */
export const configCommand: CommandModule = {
  command: "config",
  describe: "check, compare, publish and list configurations",
  builder: (args) =>
    args.command(checkCommand as unknown as CommandModule)
      .command(diffCommand as unknown as CommandModule)
      .command(publishCommand as unknown as CommandModule)
      .command(historyCommand as unknown as CommandModule)
      .demandCommand(
        1,
        "Specify a subcommand: check, diff, publish or history.",
      ),
  handler: () => {},
};
