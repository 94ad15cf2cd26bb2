/**
 * `bamboolane move`: plans traffic moves and controls their steps.
 */
import type { Argv, CommandModule } from "yargs";
import type { MoveAction } from "@bamboolane/agree/edit_fleet";
import { MoveState } from "@bamboolane/types/fleet";
import { withChangeOptions } from "../../common_options.ts";
import { type EditArgs, sendEdit } from "../../send_edit.ts";

interface PlanArgs extends EditArgs {
  id: string;
  service: string;
  from: string;
  to: string;
  cap: number;
  steps: number[];
  owner: string;
  reason: string;
}

const planCommand = {
  command: "plan <id>",
  describe: "plan a move in capped steps",
  builder: (args: Argv) =>
    withChangeOptions(
      args.positional("id", { type: "string", demandOption: true }),
    )
      .option("service", { type: "string", demandOption: true })
      .option("from", {
        type: "string",
        demandOption: true,
        describe: "data centre",
      })
      .option("to", {
        type: "string",
        demandOption: true,
        describe: "data centre",
      })
      .option("cap", {
        type: "number",
        demandOption: true,
        describe: "maximum share, 0 to 1",
      })
      .option("steps", { type: "number", array: true, demandOption: true })
      .option("owner", { type: "string", demandOption: true })
      .option("reason", { type: "string", demandOption: true }),
  handler: async (args: PlanArgs) => {
    const { id, service, from, to, steps, owner, reason } = args;
    await sendEdit(args, {
      kind: "move-plan",
      move: {
        id,
        service,
        from,
        to,
        capShare: args.cap,
        steps,
        step: -1,
        state: MoveState.planned,
        owner,
        reason,
      },
    });
  },
};

function actionCommand(action: MoveAction, describe: string): CommandModule {
  return {
    command: `${action} <id>`,
    describe,
    builder: (args) =>
      withChangeOptions(
        args.positional("id", { type: "string", demandOption: true }),
      ),
    handler: (raw) => {
      const args = raw as unknown as EditArgs & { id: string };
      return sendEdit(args, { kind: "move", id: args.id, action });
    },
  };
}

/** The command and its subcommands. */
export const moveCommand: CommandModule = {
  command: "move",
  describe: "plan a traffic move and control its steps",
  builder: (args) =>
    args.command(planCommand as unknown as CommandModule)
      .command(
        actionCommand(
          "advance",
          "take the next step; later steps follow automatically",
        ),
      )
      .command(actionCommand("pause", "stay at the current step"))
      .command(actionCommand("resume", "resume after a pause"))
      .command(actionCommand("abort", "send all traffic back"))
      .command(actionCommand("finish", "keep the current step permanently"))
      .demandCommand(
        1,
        "Specify a subcommand: plan, advance, pause, resume, abort or finish.",
      ),
  handler: () => {},
};
