/**
 * Options that every operator's command takes.
 */
import type { Argv } from "yargs";
import { OutputFormat } from "./print_result.ts";

const defaultOperator = "http://127.0.0.1:7200";

/** Adds the options that reach an entry and choose the output. */
export function withOperatorOptions<T>(args: Argv<T>) {
  return args
    .option("operator", {
      type: "string",
      default: defaultOperator,
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
