/**
 * Sends an edit of the configuration in force and prints its result.
 */
import type { FleetEdit } from "@bamboolane/agree/edit_fleet";
import type { PublishResult } from "@bamboolane/entry/publish_and_wait";
import { callOperator, type OperatorOptions } from "./operator_client.ts";
import { formatPublishResult } from "./format_publish_result.ts";
import { type OutputFormat, printResult } from "./print_result.ts";

/** Arguments shared by all edit commands. */
export interface EditArgs extends OperatorOptions {
  summary?: string;
  changeId?: string;
  baseRevision?: number;
  output: OutputFormat;
}

/** Sends one edit and prints its result; rejects if it is refused. */
export async function sendEdit(args: EditArgs, edit: FleetEdit): Promise<void> {
  const { summary, changeId, baseRevision } = args;
  const result = await callOperator<PublishResult>(args, {
    method: "POST",
    path: "/v1/edit",
    body: { edit, summary, changeId, baseRevision },
  });
  printResult(result, { output: args.output, toText: formatPublishResult });
}
