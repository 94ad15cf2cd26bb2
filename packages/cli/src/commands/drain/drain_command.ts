/**
 * `bamboolane drain`: keeps new requests away from a target, an instance or a
 * data centre until the drain is ended.
 */
import type { CommandModule } from "yargs";
import { DrainKind } from "@bamboolane/types/fleet";
import { withChangeOptions } from "../../common_options.ts";
import { type EditArgs, sendEdit } from "../../send_edit.ts";

interface DrainArgs extends EditArgs {
  kind: DrainKind;
  id: string;
  end: boolean;
  owner: string;
  reason: string;
}

/** The command. */
export const drainCommand: CommandModule = {
  command: "drain <kind> <id>",
  describe: "drain a target, an instance or a data centre",
  builder: (args) =>
    withChangeOptions(args)
      .positional("kind", {
        choices: Object.values(DrainKind),
        demandOption: true,
      })
      .positional("id", { type: "string", demandOption: true })
      .option("end", {
        type: "boolean",
        default: false,
        describe: "end the drain",
      })
      .option("owner", { type: "string", default: "operator" })
      .option("reason", { type: "string", default: "planned maintenance" }),
  handler: async (raw) => {
    const args = raw as unknown as DrainArgs;
    const { kind, id, owner, reason } = args;
    await sendEdit(
      args,
      args.end
        ? { kind: "drain-remove", id }
        : { kind: "drain-add", drain: { kind, id, owner, reason } },
    );
  },
};
