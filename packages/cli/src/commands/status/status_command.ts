/**
 * `bamboolane status`: shows the state of the fleet.
 */
import type { CommandModule } from "yargs";
import type { OperatorActions } from "@bamboolane/entry/operator_actions";
import { withOperatorOptions } from "../../common_options.ts";
import { callOperator } from "../../operator_client.ts";
import {
  formatTable,
  type OutputFormat,
  printResult,
} from "../../print_result.ts";

type Status = ReturnType<OperatorActions["status"]>;

function formatInstances(status: Status): string {
  const heading = [
    "DATA CENTRE",
    "INSTANCE",
    "STATE",
    "REVISION",
    "CUT OFF",
    "CALLERS",
  ];
  const rows = [...status.instances]
    .sort((a, b) =>
      a.dataCentre < b.dataCentre ? -1 : a.dataCentre > b.dataCentre ? 1 : 0
    )
    .map((i) => [
      i.dataCentre,
      i.id,
      i.state,
      String(i.revision),
      i.cutOff ? "yes" : "no",
      i.callers,
    ]);
  return formatTable([heading, ...rows]);
}

function formatPools(status: Status): string[] {
  return Object.entries(status.pools).map(([service, pool]) =>
    `  ${service}: ${pool.inFlight} of ${pool.slots} slots, ${pool.queued} queued`
  );
}

function formatMoves(status: Status): string[] {
  return status.moves.map((m) => {
    const share = m.step < 0 ? 0 : m.steps[m.step];
    return `  ${m.id}: ${m.service} ${m.from} -> ${m.to}, step ${
      m.step + 1
    }/${m.steps.length}` +
      ` (${Math.round(share * 100)}% of at most ${
        Math.round(m.capShare * 100)
      }%), ${m.state}`;
  });
}

function formatSection(title: string, lines: string[]): string {
  return `${title}\n${lines.length === 0 ? "  none" : lines.join("\n")}`;
}

/** Formats the status for a terminal. */
export function formatStatus(status: Status): string {
  const broken = Object.entries(status.invariants).filter(([, count]) =>
    count.breaches > 0
  );
  return [
    `revision ${status.revision}${
      status.cutOff ? ", CUT OFF" : ""
    } as seen by ` +
    `${status.instance.id} in ${status.instance.dataCentre}`,
    "",
    formatInstances(status),
    "",
    formatSection(
      "unreachable data centres",
      status.unreachable.map((id) => `  ${id}`),
    ),
    formatSection("pools owned here", formatPools(status)),
    formatSection(
      "drains",
      status.drains.map((d) => `  ${d.kind} ${d.id}: ${d.reason} (${d.owner})`),
    ),
    formatSection("moves", formatMoves(status)),
    formatSection(
      "exceptions",
      status.exceptions.map((e) => `  ${e.id}: ${e.reason} (${e.owner})`),
    ),
    formatSection(
      "broken invariants",
      broken.map(([name, count]) =>
        `  ${name}: ${count.breaches} of ${count.checks} checks`
      ),
    ),
  ].join("\n");
}

/** The command. */
export const statusCommand: CommandModule = {
  command: "status",
  describe: "show instances, pools, drains, moves and exceptions",
  builder: (args) => withOperatorOptions(args),
  handler: async (raw) => {
    const args = raw as unknown as { operator: string; output: OutputFormat };
    const status = await callOperator<Status>(args, {
      method: "GET",
      path: "/v1/status",
    });
    printResult(status, { output: args.output, toText: formatStatus });
  },
};
