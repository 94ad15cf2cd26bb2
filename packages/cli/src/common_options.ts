/**
 * Options shared by the operator commands.
 */
import type { Argv } from "yargs";
import { OutputFormat } from "./print_result.ts";

const DEFAULT_OPERATOR_URL = "http://127.0.0.1:7200";

/** Adds the options for reaching an entry and choosing the output format. */
export function withOperatorOptions<T>(args: Argv<T>) {
  return args
    .option("operator", {
      type: "string",
      default: DEFAULT_OPERATOR_URL,
      describe: "URL of an entry's operator interface",
    })
    .option("token", {
      type: "string",
      describe: "credential (or BAMBOOLANE_TOKEN)",
    })
    .option("token-file", {
      type: "string",
      describe: "file that holds the credential",
    })
    .option("output", {
      choices: Object.values(OutputFormat),
      default: OutputFormat.text as OutputFormat,
      describe: "output format",
    });
}

/** Adds the options of commands that change the configuration. */
export function withChangeOptions<T>(args: Argv<T>) {
  return withOperatorOptions(args)
    .option("summary", {
      type: "string",
      describe: "what the change does, for the history",
    })
    .option("change-id", {
      type: "string",
      describe: "id of the change; the same id takes effect at most once",
    })
    .option("base-revision", {
      type: "number",
      describe: "refuse with a conflict unless this revision is in force",
    });
}
