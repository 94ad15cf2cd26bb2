#!/usr/bin/env node
/**
 * The `bamboolane` command line.
 */
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { ResultCode } from "@bamboolane/errors/result_code";
import { toSteeringError } from "@bamboolane/errors/steering_error";
import { configCommand } from "./commands/config/config_command.ts";
import { drainCommand } from "./commands/drain/drain_command.ts";
import { entryCommand } from "./commands/entry/entry_command.ts";
import { exceptionCommand } from "./commands/exception/exception_command.ts";
import { explainCommand } from "./commands/explain/explain_command.ts";
import { lookupCommand } from "./commands/lookup/lookup_command.ts";
import { moveCommand } from "./commands/move/move_command.ts";
import { reportCommand } from "./commands/report/report_command.ts";
import { statusCommand } from "./commands/status/status_command.ts";
import { traceCommand } from "./commands/trace/trace_command.ts";
import { ExitCode, exitCodeFor } from "./exit_codes.ts";

function fail(message: string | null, error: Error | undefined): never {
  if (error === undefined) {
    process.stderr.write(`${message}\nRun with --help for usage.\n`);
    process.exit(ExitCode.usage);
  }
  const failure = toSteeringError(error, ResultCode.internal);
  process.stderr.write(
    `${failure.info.name} (${failure.info.code}): ${failure.message}\n`,
  );
  if (failure.info.remedy !== "") {
    process.stderr.write(`${failure.info.remedy}\n`);
  }
  process.exit(exitCodeFor(failure.info));
}

await yargs(hideBin(process.argv))
  .scriptName("bamboolane")
  .command(entryCommand as never)
  .command(configCommand)
  .command(exceptionCommand)
  .command(drainCommand)
  .command(moveCommand)
  .command(statusCommand)
  .command(lookupCommand)
  .command(explainCommand)
  .command(reportCommand)
  .command(traceCommand)
  .demandCommand(1, "Specify a command.")
  .strict()
  .fail((message, error) => fail(message, error))
  .help()
  .parseAsync();
