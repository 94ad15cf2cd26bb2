/**
 * Runs one bench: `npm run bench -- NAME [--output json] [--seed N] [--scale N]`.
 * Exits with 1 if a bound is missed.
 */
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { type Bench, formatBench } from "./bench_report.ts";
import { controlBench } from "./control_bench.ts";
import { entryBench } from "./entry_bench.ts";
import { drainBench } from "./drain_bench.ts";
import { linksBench } from "./links_bench.ts";
import { moveBench } from "./move_bench.ts";
import { overloadBench } from "./overload_bench.ts";
import { membersBench } from "./members_bench.ts";
import { replayBench } from "./replay_bench.ts";
import { slotsBench } from "./slots_bench.ts";
import { holBench } from "./hol_bench.ts";
import { lookupBench } from "./lookup_bench.ts";
import { tailBench } from "./tail_bench.ts";

const BENCHES: Record<string, Bench> = {
  control: controlBench,
  entry: entryBench,
  drain: drainBench,
  hol: holBench,
  links: linksBench,
  members: membersBench,
  move: moveBench,
  overload: overloadBench,
  replay: replayBench,
  slots: slotsBench,
  lookup: lookupBench,
  tail: tailBench,
};

const args = await yargs(hideBin(process.argv))
  .scriptName("bench")
  .command("$0 <name>", "run one bench")
  .positional("name", { choices: Object.keys(BENCHES), demandOption: true })
  .option("output", {
    choices: ["text", "json"] as const,
    default: "text" as const,
  })
  .option("seed", { type: "number", default: 1 })
  .option("scale", { type: "number", default: 1, describe: "scales durations" })
  .strict()
  .help()
  .parseAsync();

const report = await BENCHES[args.name as string]({
  seed: args.seed,
  scale: args.scale,
});
const text = args.output === "json"
  ? JSON.stringify(report, null, 2)
  : formatBench(report);
process.stdout.write(text + "\n");
process.exit(report.bounds.every((bound) => bound.holds) ? 0 : 1);
