/**
 * `bamboolane entry`: runs the daemon until SIGTERM or SIGINT.
 */
import process from "node:process";
import { readFile } from "node:fs/promises";
import type { CommandModule } from "yargs";
import { formatProblem } from "@bamboolane/config/parse_yaml";
import { parseSettings } from "@bamboolane/config/parse_settings";
import { startEntry } from "@bamboolane/entry/start_entry";
import { createLogger } from "@bamboolane/logger/create_logger";
import { ExitCode } from "../../exit_codes.ts";

async function runEntry(file: string): Promise<void> {
  const text = await readFile(file, "utf8").catch((error) => {
    process.stderr.write(`${file}: ${error.message}\n`);
    process.exit(ExitCode.invalid);
  });
  const settings = parseSettings(text, { file });
  if (settings.isErr()) {
    for (const problem of settings.error) {
      process.stderr.write(formatProblem(problem) + "\n");
    }
    process.exit(ExitCode.invalid);
  }
  const { instance, log: logSettings } = settings.value;
  const log = createLogger({
    level: logSettings.level,
    baseFields: { instance: instance.id, dataCentre: instance.dataCentre },
  });
  const entry = await startEntry({ settings: settings.value, log });
  let stopping = false;
  const stop = async () => {
    if (stopping) return;
    stopping = true;
    await entry.stop();
    process.exit(ExitCode.ok);
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
}

/** The command. */
export const entryCommand: CommandModule<unknown, { settings: string }> = {
  command: "entry",
  describe: "run an entry",
  builder: (args) =>
    args.option("settings", {
      type: "string",
      demandOption: true,
      describe: "settings file (YAML)",
    }),
  handler: (args) => runEntry(args.settings),
};
