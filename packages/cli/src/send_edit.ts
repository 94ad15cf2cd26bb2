/**
 * Sends an edit of the configuration in force and prints what came of it.
 */
import type { FleetEdit } from "@bamboolane/agree/edit_fleet";
import type { PublishResult } from "@bamboolane/entry/publish_and_wait";
import { callOperator, type OperatorOptions } from "./operator_client.ts";
import { formatPublished } from "./print_published.ts";
import { type OutputFormat, printResult } from "./print_result.ts";

/** Arguments that all edits share. */
export interface EditArgs extends OperatorOptions {
  summary?: string;
  changeId?: string;
  baseRevision?: number;
  output: OutputFormat;
}

/** Sends one edit. */
export async function sendEdit(args: EditArgs, edit: FleetEdit): Promise<void> {
  const { summary, changeId, baseRevision } = args;
  const result = await callOperator<PublishResult>(args, {
    method: "POST",
    path: "/v1/edit",
    body: { edit, summary, changeId, baseRevision },
  });
  printResult(result, { output: args.output, toText: formatPublished });
}
