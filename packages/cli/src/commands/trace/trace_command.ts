/**
 * `bamboolane trace`: shows the timeline of one request from the logs of
 * several processes.
 */
import { createReadStream } from "node:fs";
import process from "node:process";
import { createInterface } from "node:readline";
import type { CommandModule } from "yargs";
import { ResultCode } from "@bamboolane/errors/result_code";
import { SteeringError } from "@bamboolane/errors/steering_error";
import { type LogLine, parseLine } from "@bamboolane/logger/parse_line";
import { type OutputFormat, printResult } from "../../print_result.ts";
import { formatTimeline, joinTimeline } from "./join_timeline.ts";

interface TraceArgs {
  request: string;
  files?: string[];
  output: OutputFormat;
}

async function readLines(files: readonly string[]): Promise<LogLine[]> {
  const inputs = files.length === 0
    ? [process.stdin]
    : files.map((file) => createReadStream(file, "utf8"));
  const lines: LogLine[] = [];
  for (const input of inputs) {
    for await (const text of createInterface({ input })) {
      const line = parseLine(text);
      if (line !== undefined) lines.push(line);
    }
  }
  return lines;
}

/** The command. */
export const traceCommand: CommandModule = {
  command: "trace [files..]",
  describe: "show the timeline of a request from the logs of several processes",
  builder: (args) =>
    args
      .positional("files", {
        type: "string",
        array: true,
        describe: "log files of the entries; standard input by default",
      })
      .option("request", {
        type: "string",
        demandOption: true,
        describe: "id of the request",
      })
      .option("output", { choices: ["text", "json"], default: "text" }),
  handler: async (raw) => {
    const args = raw as unknown as TraceArgs;
    const timeline = joinTimeline(
      await readLines(args.files ?? []),
      args.request,
    );
    if (timeline.length === 0) {
      throw new SteeringError(
        ResultCode.notFound,
        `No line carries the request id ${args.request}. Pass the logs of all ` +
          `entries of that time; an entry that was killed may have lost its last lines.`,
      );
    }
    const events = timeline.map(({ line, own }) => ({
      time: new Date(line.timeMillis).toISOString(),
      own,
      event: line.event,
      ...Object.fromEntries(line.fields),
    }));
    printResult(events, {
      output: args.output,
      toText: () => formatTimeline(timeline),
    });
  },
};
