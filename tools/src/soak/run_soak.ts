/**
 * `npm run soak -- --seed N --duration-seconds S [--profile NAME]` runs real
 * processes under seeded traffic and seeded faults, single and in pairs, and
 * checks the outcomes of the calls against what the targets ran.
 */
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { seededRandom } from "@bamboolane/test-utils/seeded_random";
import { Caller, type CallResult } from "../harness/caller.ts";
import {
  FAULT_INJECTORS,
  type FaultName,
  type Testbed,
} from "../harness/fault_injectors.ts";
import { formatRows } from "../harness/format_rows.ts";
import { CYCLESTAND_PROFILE, NDIAYE_PROFILE } from "../harness/make_fleet.ts";
import {
  findInvariantBreaches,
  startTestbed,
  stopTestbed,
} from "../harness/start_testbed.ts";
import { tabulateCalls } from "../harness/summarize_calls.ts";
import { verifyCalls } from "../harness/verify_calls.ts";
import {
  CYCLESTAND_CALLS,
  driveCalls,
  NDIAYE_CALLS,
} from "../harness/workload.ts";

const PROFILES = {
  ndiaye: { profile: NDIAYE_PROFILE, kinds: NDIAYE_CALLS, basePort: 21_500 },
  cyclestand: {
    profile: CYCLESTAND_PROFILE,
    kinds: CYCLESTAND_CALLS,
    basePort: 22_500,
  },
} as const;

const ENTRIES_PER_DATA_CENTRE = [2, 1, 2, 1, 1, 1];
const FAULT_FREE_START_MILLIS = 2000;
/** Share of the steps that draw two faults; one that draws the same twice injects it once. */
const FAULT_PAIR_SHARE = 0.35;
const MIN_FAULT_MILLIS = 800;
/** Longest time for which a fault is held beyond the minimum. */
const FAULT_RANGE_MILLIS = 3000;
/** Pause after each step of the schedule, and before the final check. */
const FAULT_PAUSE_MILLIS = 1500;

/** A step of the fault schedule: faults that are held together. The same seed gives the same schedule. */
interface FaultStep {
  names: FaultName[];
  heldMillis: number;
}

function makeSchedule(
  random: () => number,
  durationMillis: number,
): FaultStep[] {
  const names = Object.keys(FAULT_INJECTORS) as FaultName[];
  const pick = () => names[Math.floor(random() * names.length)];
  const steps: FaultStep[] = [];
  let scheduledMillis = FAULT_FREE_START_MILLIS;
  while (scheduledMillis < durationMillis) {
    const chosen = random() < FAULT_PAIR_SHARE ? [pick(), pick()] : [pick()];
    const heldMillis = MIN_FAULT_MILLIS + random() * FAULT_RANGE_MILLIS;
    steps.push({ names: [...new Set(chosen)], heldMillis });
    scheduledMillis += heldMillis + FAULT_PAUSE_MILLIS;
  }
  return steps;
}

function wait(millis: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, millis));
}

async function runFaults(
  testbed: Testbed,
  schedule: FaultStep[],
  options: { endAtMillis: number },
): Promise<number> {
  let count = 0;
  await wait(FAULT_FREE_START_MILLIS);
  for (const step of schedule) {
    if (performance.now() > options.endAtMillis) break;
    const active = [];
    for (const name of step.names) {
      const fault = await FAULT_INJECTORS[name](testbed);
      process.stdout.write(
        `soak: fault ${++count}: ${name} (${fault.detail})\n`,
      );
      active.push(fault);
    }
    await wait(step.heldMillis);
    for (const fault of active) await fault.end();
    await wait(FAULT_PAUSE_MILLIS);
  }
  return count;
}

async function runSoak(args: {
  seed: number;
  durationSeconds: number;
  profile: keyof typeof PROFILES;
}): Promise<number> {
  const { seed } = args;
  const { profile, kinds, basePort } = PROFILES[args.profile];
  const durationMillis = args.durationSeconds * 1000;
  const schedule = makeSchedule(seededRandom(seed), durationMillis);
  const testbed = await startTestbed({
    profile,
    entriesPerDataCentre: ENTRIES_PER_DATA_CENTRE,
    basePort,
    seed: seed + 1,
  });
  const lookupAddresses = testbed.cluster.entries.map((e) => e.callers);
  const caller = new Caller({ lookupAddresses, maxSends: 6 });
  const results: CallResult[] = [];
  const pending = new Set<Promise<void>>();
  const endAtMillis = performance.now() + durationMillis;
  const traffic = driveCalls({
    kinds,
    durationMillis,
    random: seededRandom(seed + 2),
    clientBlockCount: 6,
    startCall: (call) => {
      const done = caller.run(call).then((result) => {
        results.push(result);
        pending.delete(done);
      });
      pending.add(done);
    },
  });
  const faults = await runFaults(testbed, schedule, { endAtMillis });
  await traffic;
  await Promise.all(pending);
  await caller.close();
  await wait(FAULT_PAUSE_MILLIS);
  const breaches = verifyCalls(
    results,
    await testbed.cluster.fetchTargetActivity(),
  );
  const breachLog = await findInvariantBreaches(testbed);
  const codes = await stopTestbed(testbed);
  breachLog.push(...await findInvariantBreaches(testbed));
  process.stdout.write(formatRows(tabulateCalls(results)) + "\n");
  for (const breach of breaches) {
    process.stdout.write(
      `soak: breach of ${breach.property}: ${breach.detail}\n`,
    );
  }
  for (const line of new Set(breachLog)) {
    process.stdout.write(`soak: ${line}\n`);
  }
  const badExits = Object.entries(codes).filter(([, code]) => code !== 0);
  for (const [name, code] of badExits) {
    process.stdout.write(`soak: ${name} exited with ${code}\n`);
  }
  const total = breaches.length + new Set(breachLog).size + badExits.length;
  if (total > 0) {
    process.stdout.write(`soak: logs are in ${testbed.cluster.folder}\n`);
  } else await testbed.cluster.removeFolder();
  process.stdout.write(
    `soak: seed ${seed}, ${results.length} requests, ${faults} faults, ${total} breaches\n`,
  );
  return total === 0 ? 0 : 1;
}

const args = await yargs(hideBin(process.argv))
  .scriptName("soak")
  .option("seed", { type: "number", default: 1 })
  .option("duration-seconds", { type: "number", default: 60 })
  .option("profile", {
    choices: Object.keys(PROFILES) as (keyof typeof PROFILES)[],
    default: "ndiaye" as keyof typeof PROFILES,
  })
  .strict()
  .help()
  .parseAsync();

/** Reports in the last line why the soak ended without a result, and exits. */
function exitWithoutResult(error: NodeJS.ErrnoException): never {
  const advice = error.code === "EADDRINUSE"
    ? "; another soak or matrix of this profile uses the same ports, let it end first"
    : "";
  process.stderr.write(`${error.stack ?? error.message}\n`);
  process.stdout.write(
    `soak: seed ${args.seed}, no result: ${error.message}${advice}\n`,
  );
  process.exit(1);
}

process.on("uncaughtException", exitWithoutResult);
process.exit(await runSoak(args).catch(exitWithoutResult));
