/**
 * `npm run matrix [-- --step NAME] [--fault NAME]` injects every fault during
 * every step, on real processes. A cell of the matrix is one step with one
 * fault. The step may fail during the fault; the cell passes if the step
 * succeeds again after it, all safety properties hold, and no entry exited
 * unexpectedly. Breaches of invariants in the entries' logs, and exit codes
 * other than 0 at the end, are counted as failed besides the cells.
 */
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { Caller } from "../harness/caller.ts";
import { FAULT_INJECTORS, type FaultName } from "../harness/fault_injectors.ts";
import { formatRows } from "../harness/format_rows.ts";
import { LinkProxy } from "../harness/link_proxy.ts";
import { NDIAYE_PROFILE } from "../harness/make_fleet.ts";
import {
  findInvariantBreaches,
  startTestbed,
  stopTestbed,
} from "../harness/start_testbed.ts";
import { verifyCalls } from "../harness/verify_calls.ts";
import {
  STEP_RUNNERS,
  type StepName,
  type StepTestbed,
} from "./step_runners.ts";

const BASE_PORT = 23_500;
const FAULT_DURATION_MILLIS = 1200;
/** Delay of the step after the start of fault injection. */
const STEP_DELAY_MILLIS = 40;
const MAX_RECOVERY_ATTEMPTS = 6;
const RECOVERY_DELAY_MILLIS = 1000;
/** A cell's detail is cut to three lines of this length. */
const DETAIL_LINE_CHARS = 90;

const MATRIX_PROFILE = {
  ...NDIAYE_PROFILE,
  regions: [
    { id: "dakar", dataCentres: ["dk1"] },
    { id: "thies", dataCentres: ["th1"] },
    { id: "saint-louis", dataCentres: ["sl1"] },
  ],
};

interface Cell {
  step: StepName;
  fault: FaultName;
  verdict: "passed" | "failed" | "not run";
  detail: string;
}

function wait(millis: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, millis));
}

/**
 * Repeats a step until it succeeds or the attempts are used up. Returns an empty
 * text on success, otherwise the last failure.
 */
async function waitForRecovery(
  testbed: StepTestbed,
  step: StepName,
): Promise<string> {
  let failure = "";
  for (let attempt = 0; attempt < MAX_RECOVERY_ATTEMPTS; attempt++) {
    try {
      await STEP_RUNNERS[step](testbed);
      return "";
    } catch (error) {
      failure = String(error);
    }
    await wait(RECOVERY_DELAY_MILLIS);
  }
  return `did not recover: ${failure}`;
}

async function runCell(
  testbed: StepTestbed,
  step: StepName,
  fault: FaultName,
): Promise<Cell> {
  testbed.results.length = 0;
  const problems: string[] = [];
  const stepDuringFault = wait(STEP_DELAY_MILLIS).then(() =>
    STEP_RUNNERS[step](testbed)
  ).catch(
    () => {},
  );
  const active = await FAULT_INJECTORS[fault](testbed);
  await wait(FAULT_DURATION_MILLIS);
  await active.end();
  await stepDuringFault;
  const recoveryFailure = await waitForRecovery(testbed, step);
  if (recoveryFailure !== "") problems.push(recoveryFailure);
  const breaches = verifyCalls(
    testbed.results,
    await testbed.cluster.fetchTargetActivity(),
  );
  problems.push(...breaches.map((b) => `${b.property}: ${b.detail}`));
  for (const entry of testbed.cluster.entries) {
    if (testbed.cluster.children.get(entry.id)) continue;
    problems.push(`${entry.id} exited unexpectedly`);
    await testbed.cluster.startEntry(entry);
    await testbed.cluster.waitUntilServing(entry);
  }
  const verdict = problems.length === 0 ? "passed" : "failed";
  return { step, fault, verdict, detail: problems.join("; ") };
}

async function startMatrixTestbed(seed: number): Promise<StepTestbed> {
  const testbed = await startTestbed({
    profile: MATRIX_PROFILE,
    entriesPerDataCentre: [2, 1, 1],
    basePort: BASE_PORT,
    seed,
  });
  const lookupAddresses = testbed.cluster.entries.map((e) => e.callers);
  const [first] = testbed.cluster.entries;
  const port = BASE_PORT + 90;
  const host = first.callers.split(":")[0];
  const [callers, peers, operators, metrics] = [0, 1, 2, 3].map((i) =>
    `${host}:${port + i}`
  );
  const joiningEntry = {
    ...first,
    id: "e-extra",
    callers,
    peers,
    operators,
    metrics,
  };
  const proxy = new LinkProxy(peers);
  // The address that the joining entry advertises, see `proxyAddress`.
  await proxy.listen(`${host}:${port + 101}`);
  testbed.proxies.set(joiningEntry.id, proxy);
  return {
    ...testbed,
    caller: new Caller({ lookupAddresses, maxSends: 6 }),
    results: [],
    joiningEntry,
  };
}

function printTable(
  cells: Cell[],
  steps: StepName[],
  faults: FaultName[],
): void {
  const rows = faults.map((fault) => [
    fault,
    ...steps.map((step) =>
      cells.find((c) => c.step === step && c.fault === fault)?.verdict ??
        "not run"
    ),
  ]);
  process.stdout.write(formatRows([["FAULT", ...steps], ...rows]) + "\n");
}

async function runMatrix(
  steps: StepName[],
  faults: FaultName[],
  seed: number,
): Promise<number> {
  const testbed = await startMatrixTestbed(seed);
  const cells: Cell[] = [];
  for (const step of steps) {
    for (const fault of faults) {
      const startedAtMillis = performance.now();
      const cell = await runCell(testbed, step, fault).catch((error): Cell => ({
        step,
        fault,
        verdict: "failed",
        detail: String(error),
      }));
      cells.push(cell);
      const seconds = ((performance.now() - startedAtMillis) / 1000).toFixed(1);
      const detail = cell.detail.slice(0, DETAIL_LINE_CHARS * 3);
      process.stdout.write(
        `matrix: ${step} / ${fault}: ${cell.verdict} in ${seconds} s ${detail}\n`,
      );
    }
  }
  await testbed.caller.close();
  const breachLog = new Set(await findInvariantBreaches(testbed));
  const codes = await stopTestbed(testbed);
  for (const line of await findInvariantBreaches(testbed)) breachLog.add(line);
  for (const line of breachLog) process.stdout.write(`matrix: ${line}\n`);
  const badExits = Object.entries(codes).filter(([, code]) => code !== 0);
  for (const [id, code] of badExits) {
    process.stdout.write(`matrix: ${id} exited with ${code}\n`);
  }
  printTable(cells, steps, faults);
  const count = (verdict: Cell["verdict"]) =>
    cells.filter((c) => c.verdict === verdict).length;
  const failed = count("failed") + breachLog.size + badExits.length;
  if (failed === 0) await testbed.cluster.removeFolder();
  else process.stdout.write(`matrix: logs are in ${testbed.cluster.folder}\n`);
  const notRun = steps.length * faults.length - cells.length;
  process.stdout.write(
    `matrix: ${count("passed")} passed, ${failed} failed, ${notRun} not run\n`,
  );
  return failed === 0 ? 0 : 1;
}

const ALL_STEPS = Object.keys(STEP_RUNNERS) as StepName[];
const ALL_FAULTS = Object.keys(FAULT_INJECTORS) as FaultName[];
const args = await yargs(hideBin(process.argv))
  .scriptName("matrix")
  .option("step", { choices: ALL_STEPS, array: true, default: ALL_STEPS })
  .option("fault", { choices: ALL_FAULTS, array: true, default: ALL_FAULTS })
  .option("seed", { type: "number", default: 1 })
  .strict()
  .help()
  .parseAsync();

process.exit(await runMatrix(args.step, args.fault, args.seed));
