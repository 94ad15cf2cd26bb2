/**
 * Runs all cucumber scenarios and ends with a line `N passed, N failed`.
 * Failing scenarios that KNOWN-RED.txt names are printed and not counted.
 */
import { spawn } from "node:child_process";
import { mkdir, readFile, rm } from "node:fs/promises";
import { once } from "node:events";
import process from "node:process";

const REPORT_FILE = ".run/cucumber.json";
const KNOWN_RED_FILE = "KNOWN-RED.txt";

interface Step {
  result: { status: string };
}

interface Scenario {
  name: string;
  steps: Step[];
}

interface Feature {
  uri: string;
  elements: Scenario[];
}

/** Runs cucumber, which writes a new report; without one the run has died. */
async function runCucumber(
  args: string[],
): Promise<{ features: Feature[]; code: number | null }> {
  await mkdir(".run", { recursive: true });
  await rm(REPORT_FILE, { force: true });
  const child = spawn("node_modules/.bin/cucumber-js", args, {
    stdio: "inherit",
    env: { ...process.env, NODE_OPTIONS: "--import tsx" },
  });
  const [code, signal] = await once(child, "exit");
  try {
    const report = await readFile(REPORT_FILE, "utf8");
    return { features: JSON.parse(report) as Feature[], code };
  } catch (error) {
    process.stdout.write(
      `cucumber ended with ${signal ?? code} and left no report: ` +
        `${(error as Error).message}\n0 passed, 1 failed\n`,
    );
    process.exit(1);
  }
}

/** Reads the names of scenarios in KNOWN-RED.txt, from its `test:` lines. */
async function readKnownRed(): Promise<Set<string>> {
  const text = await readFile(KNOWN_RED_FILE, "utf8").catch(() => "");
  const lines = text.split("\n").filter((line) => line.startsWith("test:"));
  return new Set(lines.map((line) => line.slice("test:".length).trim()));
}

const { features, code } = await runCucumber(process.argv.slice(2));
const scenarios = features.flatMap((feature) =>
  feature.elements.map((scenario) => ({ ...scenario, uri: feature.uri }))
);
const knownRed = await readKnownRed();
let passed = 0;
let failed = 0;
let known = 0;
for (const scenario of scenarios) {
  const hasPassed = scenario.steps.every((step) =>
    step.result.status === "passed"
  );
  if (hasPassed) {
    passed++;
    if (knownRed.has(scenario.name)) {
      process.stdout.write(
        `known red passes now, remove its entry: ${scenario.name}\n`,
      );
    }
  } else if (knownRed.has(scenario.name)) {
    known++;
    process.stdout.write(`known red: ${scenario.uri}: ${scenario.name}\n`);
  } else {
    failed++;
    process.stdout.write(`failed: ${scenario.uri}: ${scenario.name}\n`);
  }
}
// A run without scenarios must not pass, nor one that failed outside of them.
if (scenarios.length === 0 || (code !== 0 && failed + known === 0)) failed++;
process.stdout.write(`${passed} passed, ${failed} failed\n`);
process.exit(failed === 0 ? 0 : 1);
