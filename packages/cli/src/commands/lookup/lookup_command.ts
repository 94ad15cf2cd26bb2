/**
 * `bamboolane lookup`: looks up which entries a caller should use.
 */
import type { CommandModule } from "yargs";
import { request } from "undici";
import { findResultCode, ResultCode } from "@bamboolane/errors/result_code";
import { SteeringError } from "@bamboolane/errors/steering_error";
import { OutputFormat, printResult } from "../../print_result.ts";

interface LookupResult {
  entries: { id: string; dataCentre: string; address: string }[];
  home: string;
  ttlSeconds: number;
  revision: number;
}

interface LookupArgs {
  entry: string;
  member: string;
  service: string;
  client: string;
  output: OutputFormat;
}

async function lookUp(args: LookupArgs): Promise<LookupResult> {
  const { member, service, client } = args;
  const url = new URL("/v1/lookup", args.entry);
  url.search = new URLSearchParams({ member, service, client }).toString();
  const response = await request(url).catch((error) => {
    throw new SteeringError(
      ResultCode.peerUnreachable,
      `${args.entry}: ${error.message}.`,
    );
  });
  const value = await response.body.json() as LookupResult & {
    code?: number;
    error?: string;
  };
  if (response.statusCode === 200) return value;
  throw new SteeringError(
    findResultCode(value.code ?? ResultCode.internal.code),
    value.error,
  );
}

function formatLookup(result: LookupResult): string {
  const lines = result.entries.map((e, i) =>
    `${i + 1}. ${e.address}  ${e.id} (${e.dataCentre})`
  );
  return [
    ...lines,
    `home ${result.home}, valid for ${result.ttlSeconds} s, revision ${result.revision}`,
  ].join("\n");
}

/** The command. */
export const lookupCommand: CommandModule = {
  command: "lookup",
  describe: "look up which entries a caller should use",
  builder: (args) =>
    args.option("entry", {
      type: "string",
      default: "http://127.0.0.1:7000",
      describe: "URL of any entry's caller interface",
    })
      .option("member", { type: "string", demandOption: true })
      .option("service", { type: "string", demandOption: true })
      .option("client", {
        type: "string",
        demandOption: true,
        describe: "client address",
      })
      .option("output", {
        choices: Object.values(OutputFormat),
        default: OutputFormat.text as OutputFormat,
      }),
  handler: async (raw) => {
    const args = raw as unknown as LookupArgs;
    printResult(await lookUp(args), {
      output: args.output,
      toText: formatLookup,
    });
  },
};
