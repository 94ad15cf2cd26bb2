/**
 * `npm run soak -- --seed N --duration-seconds S [--profile NAME]`: real
 * processes, seeded faults alone and in pairs, seeded traffic, and a check
 * of what the targets really ran.
 */
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { seededRandom } from "@bamboolane/test-utils/seeded_random";
import { Caller, type CallResult } from "../harness/caller.ts";
import {
  faultKinds,
  type FaultName,
  type FaultScene,
} from "../harness/fault_kinds.ts";
import { formatRows } from "../harness/format_rows.ts";
import { cyclestand, ndiaye } from "../harness/make_fleet.ts";
import {
  endScene,
  findInvariantBreaches,
  startScene,
} from "../harness/start_scene.ts";
import { tabulateCalls } from "../harness/summarize_calls.ts";
import { verifyCalls } from "../harness/verify_calls.ts";
import {
  cyclestandCalls,
  driveCalls,
  ndiayeCalls,
} from "../harness/workload.ts";

const profiles = {
  ndiaye: { profile: ndiaye, kinds: ndiayeCalls, basePort: 21_500 },
  cyclestand: { profile: cyclestand, kinds: cyclestandCalls, basePort: 22_500 },
} as const;

const entriesPerDataCentre = [2, 1, 2, 1, 1, 1];
const quietMillis = 2000;
const pairShare = 0.35;
const minFaultMillis = 800;
const faultSpreadMillis = 3000;
const restMillis = 1500;

/** One step of the schedule; equal for equal seeds. */
interface FaultStep {
  names: FaultName[];
  lengthMillis: number;
}

function makeSchedule(
  random: () => number,
  durationMillis: number,
): FaultStep[] {
  const names = Object.keys(faultKinds) as FaultName[];
  const pick = () => names[Math.floor(random() * names.length)];
  const steps: FaultStep[] = [];
  let total = quietMillis;
  while (total < durationMillis) {
    const chosen = random() < pairShare ? [pick(), pick()] : [pick()];
    const lengthMillis = minFaultMillis + random() * faultSpreadMillis;
    steps.push({ names: [...new Set(chosen)], lengthMillis });
    total += lengthMillis + restMillis;
  }
  return steps;
}

function wait(millis: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, millis));
}

async function runFaults(
  scene: FaultScene,
  schedule: FaultStep[],
  options: { endAtMillis: number },
): Promise<number> {
  let count = 0;
  await wait(quietMillis);
  for (const step of schedule) {
    if (performance.now() > options.endAtMillis) break;
    const active = [];
    for (const name of step.names) {
      const fault = await faultKinds[name](scene);
      process.stdout.write(
        `soak: fault ${++count}: ${name} (${fault.detail})\n`,
      );
      active.push(fault);
    }
    await wait(step.lengthMillis);
    for (const fault of active) await fault.end();
    await wait(restMillis);
  }
  return count;
}

async function runSoak(args: {
  seed: number;
  durationSeconds: number;
  profile: keyof typeof profiles;
}): Promise<number> {
  const { seed } = args;
  const { profile, kinds, basePort } = profiles[args.profile];
  const durationMillis = args.durationSeconds * 1000;
  const schedule = makeSchedule(seededRandom(seed), durationMillis);
  const scene = await startScene({
    profile,
    entriesPerDataCentre,
    basePort,
    seed: seed + 1,
  });
  const seeds = scene.cluster.entries.map((e) => e.callers);
  const caller = new Caller({ seeds, maxSends: 6 });
  const results: CallResult[] = [];
  const pending = new Set<Promise<void>>();
  const endAtMillis = performance.now() + durationMillis;
  const traffic = driveCalls({
    kinds,
    durationMillis,
    random: seededRandom(seed + 2),
    blocks: 6,
    start: (call) => {
      const done = caller.run(call).then((result) => {
        results.push(result);
        pending.delete(done);
      });
      pending.add(done);
    },
  });
  const faults = await runFaults(scene, schedule, { endAtMillis });
  await traffic;
  await Promise.all(pending);
  await caller.close();
  await wait(restMillis);
  const breaches = verifyCalls(results, await scene.cluster.targets());
  const invariants = await findInvariantBreaches(scene);
  const codes = await endScene(scene);
  invariants.push(...await findInvariantBreaches(scene));
  process.stdout.write(formatRows(tabulateCalls(results)) + "\n");
  for (const breach of breaches) {
    process.stdout.write(
      `soak: breach of ${breach.promise}: ${breach.detail}\n`,
    );
  }
  for (const line of new Set(invariants)) {
    process.stdout.write(`soak: ${line}\n`);
  }
  const badExits = Object.entries(codes).filter(([, code]) => code !== 0);
  for (const [name, code] of badExits) {
    process.stdout.write(`soak: ${name} exited with ${code}\n`);
  }
  const total = breaches.length + new Set(invariants).size + badExits.length;
  if (total > 0) {
    process.stdout.write(`soak: logs are in ${scene.cluster.folder}\n`);
  } else await scene.cluster.removeFolder();
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
    choices: Object.keys(profiles) as (keyof typeof profiles)[],
    default: "ndiaye" as keyof typeof profiles,
  })
  .strict()
  .help()
  .parseAsync();

/** Says in the last line why a soak ended without a result. */
function failSoak(error: NodeJS.ErrnoException): never {
  const advice = error.code === "EADDRINUSE"
    ? "; another soak or matrix of this profile uses the same ports, let it end first"
    : "";
  process.stderr.write(`${error.stack ?? error.message}\n`);
  process.stdout.write(
    `soak: seed ${args.seed}, no result: ${error.message}${advice}\n`,
  );
  process.exit(1);
}

process.on("uncaughtException", failSoak);
process.exit(await runSoak(args).catch(failSoak));
