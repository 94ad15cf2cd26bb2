/**
 * `npm run matrix [-- --step NAME] [--fault NAME]`: every fault at every
 * step, on real processes. A cell passes where the step succeeds again after
 * the fault, no promise was broken, and no entry ended on its own.
 */
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { Caller } from "../harness/caller.ts";
import { faultKinds, type FaultName } from "../harness/fault_kinds.ts";
import { formatRows } from "../harness/format_rows.ts";
import { LinkProxy } from "../harness/link_proxy.ts";
import { ndiaye } from "../harness/make_fleet.ts";
import {
  endScene,
  findInvariantBreaches,
  startScene,
} from "../harness/start_scene.ts";
import { verifyCalls } from "../harness/verify_calls.ts";
import { stepKinds, type StepName, type StepScene } from "./step_kinds.ts";

const basePort = 23_500;
const faultMillis = 1200;
const leadMillis = 40;
const recoveryTries = 6;
const recoveryPauseMillis = 1000;
const maxNameLength = 90;

const profile = {
  ...ndiaye,
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

/** Repeats the step until it succeeds; its last failure otherwise. */
async function recover(scene: StepScene, step: StepName): Promise<string> {
  let failure = "";
  for (let attempt = 0; attempt < recoveryTries; attempt++) {
    try {
      await stepKinds[step](scene);
      return "";
    } catch (error) {
      failure = String(error);
    }
    await wait(recoveryPauseMillis);
  }
  return `did not recover: ${failure}`;
}

async function runCell(
  scene: StepScene,
  step: StepName,
  fault: FaultName,
): Promise<Cell> {
  scene.results.length = 0;
  const problems: string[] = [];
  const during = wait(leadMillis).then(() => stepKinds[step](scene)).catch(
    () => {},
  );
  const active = await faultKinds[fault](scene);
  await wait(faultMillis);
  await active.end();
  await during;
  const unrecovered = await recover(scene, step);
  if (unrecovered !== "") problems.push(unrecovered);
  const breaches = verifyCalls(scene.results, await scene.cluster.targets());
  problems.push(...breaches.map((b) => `${b.promise}: ${b.detail}`));
  for (const entry of scene.cluster.entries) {
    if (scene.cluster.children.get(entry.id)) continue;
    problems.push(`${entry.id} ended on its own`);
    await scene.cluster.startEntry(entry);
    await scene.cluster.untilServing(entry);
  }
  const verdict = problems.length === 0 ? "passed" : "failed";
  return { step, fault, verdict, detail: problems.join("; ") };
}

async function startMatrixScene(seed: number): Promise<StepScene> {
  const scene = await startScene({
    profile,
    entriesPerDataCentre: [2, 1, 1],
    basePort,
    seed,
  });
  const seeds = scene.cluster.entries.map((e) => e.callers);
  const [first] = scene.cluster.entries;
  const port = basePort + 90;
  const host = first.callers.split(":")[0];
  const [callers, peers, operators, metrics] = [0, 1, 2, 3].map((i) =>
    `${host}:${port + i}`
  );
  const extra = { ...first, id: "e-extra", callers, peers, operators, metrics };
  const proxy = new LinkProxy(peers);
  await proxy.listen(`${host}:${port + 101}`);
  scene.proxies.set(extra.id, proxy);
  return {
    ...scene,
    caller: new Caller({ seeds, maxSends: 6 }),
    results: [],
    extra,
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
  const scene = await startMatrixScene(seed);
  const cells: Cell[] = [];
  for (const step of steps) {
    for (const fault of faults) {
      const startedAt = performance.now();
      const cell = await runCell(scene, step, fault).catch((error): Cell => ({
        step,
        fault,
        verdict: "failed",
        detail: String(error),
      }));
      cells.push(cell);
      const seconds = ((performance.now() - startedAt) / 1000).toFixed(1);
      const detail = cell.detail.slice(0, maxNameLength * 3);
      process.stdout.write(
        `matrix: ${step} / ${fault}: ${cell.verdict} in ${seconds} s ${detail}\n`,
      );
    }
  }
  await scene.caller.close();
  const invariants = new Set(await findInvariantBreaches(scene));
  const codes = await endScene(scene);
  for (const line of await findInvariantBreaches(scene)) invariants.add(line);
  for (const line of invariants) process.stdout.write(`matrix: ${line}\n`);
  const badExits = Object.entries(codes).filter(([, code]) => code !== 0);
  for (const [id, code] of badExits) {
    process.stdout.write(`matrix: ${id} exited with ${code}\n`);
  }
  printTable(cells, steps, faults);
  const count = (verdict: Cell["verdict"]) =>
    cells.filter((c) => c.verdict === verdict).length;
  const failed = count("failed") + invariants.size + badExits.length;
  if (failed === 0) await scene.cluster.removeFolder();
  else process.stdout.write(`matrix: logs are in ${scene.cluster.folder}\n`);
  const notRun = steps.length * faults.length - cells.length;
  process.stdout.write(
    `matrix: ${count("passed")} passed, ${failed} failed, ${notRun} not run\n`,
  );
  return failed === 0 ? 0 : 1;
}

const allSteps = Object.keys(stepKinds) as StepName[];
const allFaults = Object.keys(faultKinds) as FaultName[];
const args = await yargs(hideBin(process.argv))
  .scriptName("matrix")
  .option("step", { choices: allSteps, array: true, default: allSteps })
  .option("fault", { choices: allFaults, array: true, default: allFaults })
  .option("seed", { type: "number", default: 1 })
  .strict()
  .help()
  .parseAsync();

process.exit(await runMatrix(args.step, args.fault, args.seed));
