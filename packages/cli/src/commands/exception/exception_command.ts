/**
 * `bamboolane exception`: adds, retires and lists exceptions.
 */
import type { Argv, CommandModule } from "yargs";
import type { ChangeableDefaults, FleetConfig } from "@bamboolane/types/fleet";
import { ResultCode } from "@bamboolane/errors/result_code";
import { SteeringError } from "@bamboolane/errors/steering_error";
import {
  withChangeOptions,
  withOperatorOptions,
} from "../../common_options.ts";
import { callOperator } from "../../operator_client.ts";
import {
  formatTable,
  type OutputFormat,
  printResult,
} from "../../print_result.ts";
import { type EditArgs, sendEdit } from "../../send_edit.ts";

interface AddArgs extends EditArgs {
  id: string;
  member?: string;
  service?: string;
  dataCentre?: string;
  set: string[];
  owner: string;
  reason: string;
  until?: string;
}

/** Parses `FIELD=NUMBER` pairs. */
function parseChange(pairs: string[]): Partial<ChangeableDefaults> {
  return Object.fromEntries(pairs.map((pair) => {
    const [field, value] = pair.split("=");
    if (value === undefined || value === "" || Number.isNaN(Number(value))) {
      throw new SteeringError(
        ResultCode.badRequest,
        `--set ${pair}: expected FIELD=NUMBER.`,
      );
    }
    return [field, Number(value)];
  }));
}

const addCommand = {
  command: "add <id>",
  describe: "add an exception to the defaults",
  builder: (args: Argv) =>
    withChangeOptions(
      args.positional("id", { type: "string", demandOption: true }),
    )
      .option("member", { type: "string" })
      .option("service", { type: "string" })
      .option("data-centre", { type: "string" })
      .option("set", {
        type: "string",
        array: true,
        demandOption: true,
        describe: "FIELD=NUMBER, such as bulkShare=0.5",
      })
      .option("owner", { type: "string", demandOption: true })
      .option("reason", {
        type: "string",
        demandOption: true,
        describe: "reason that the board sees in the report",
      })
      .option("until", { type: "string", describe: "last day, as YYYY-MM-DD" }),
  handler: async (args: AddArgs) => {
    const { id, member, service, dataCentre, owner, reason, until } = args;
    const match = { member, service, dataCentre };
    const exception = {
      id,
      match,
      change: parseChange(args.set),
      owner,
      reason,
      until,
    };
    await sendEdit(args, { kind: "exception-add", exception });
  },
};

const retireCommand = {
  command: "retire <id>",
  describe: "retire an exception",
  builder: (args: Argv) =>
    withChangeOptions(
      args.positional("id", { type: "string", demandOption: true }),
    ),
  handler: (args: EditArgs & { id: string }) =>
    sendEdit(args, { kind: "exception-retire", id: args.id }),
};

const listCommand = {
  command: "list",
  describe: "list exceptions with their reasons",
  builder: (args: Argv) => withOperatorOptions(args),
  handler: async (args: { operator: string; output: OutputFormat }) => {
    const { fleet } = await callOperator<{ fleet: FleetConfig }>(args, {
      method: "GET",
      path: "/v1/config",
    });
    const heading = ["ID", "MATCH", "CHANGE", "OWNER", "UNTIL", "REASON"];
    printResult(fleet.exceptions, {
      output: args.output,
      toText: (list) =>
        formatTable([
          heading,
          ...list.map((e) => [
            e.id,
            Object.values(e.match).filter(Boolean).join("/") || "all",
            Object.entries(e.change).map(([k, v]) => `${k}=${v}`).join(","),
            e.owner,
            e.until ?? "-",
            e.reason,
          ]),
        ]),
    });
  },
};

/** The command and its subcommands. */
export const exceptionCommand: CommandModule = {
  command: "exception",
  describe: "add, retire and list exceptions",
  builder: (args) =>
    args.command(addCommand as unknown as CommandModule)
      .command(retireCommand as unknown as CommandModule)
      .command(listCommand as unknown as CommandModule)
      .demandCommand(1, "Specify a subcommand: add, retire or list."),
  handler: () => {},
};
