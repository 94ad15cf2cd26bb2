/**
 * `npm run breaks [-- INVARIANT ...]` is a mutation test of the invariant
 * checks. For each invariant, or each of those given, one mutation is applied to
 * a copy of the built product, and the named scenario must then report a breach
 * of that invariant.
 */
import {
  cp,
  mkdir,
  mkdtemp,
  readdir,
  readFile,
  rm,
  symlink,
  writeFile,
} from "node:fs/promises";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { tmpdir } from "node:os";
import path from "node:path";
import process from "node:process";
import { formatRows } from "../harness/format_rows.ts";

/** A change to the built code and the scenario that must detect it. */
interface Mutation {
  invariant: string;
  file: string;
  find: string;
  replace: string;
  feature: string;
  scenario: string;
}

const FAILURES_FEATURE = "packages/entry/features/failures.feature";
const WHOLE_PATH_FEATURE = "packages/entry/features/whole_path.feature";

const MUTATIONS: Mutation[] = [
  {
    invariant: "move-cap",
    file: "packages/entry/dist/move_share_limiter.js",
    find: "count.moved + 1 <= capShare * count.total",
    replace: "true",
    feature: FAILURES_FEATURE,
    scenario:
      "A move redirects its share of the requests and never exceeds its cap",
  },
  {
    invariant: "region-cap",
    file: "packages/admit/dist/slot_pool.js",
    find: "this.#paused || this.#holders.size >= this.#limits.capInFlight",
    replace: "this.#paused",
    feature: FAILURES_FEATURE,
    scenario:
      "A data centre's cap on requests in flight holds under three times its load",
  },
  {
    invariant: "answer-matches",
    file: "packages/entry/dist/caller_server.js",
    find: "ids.request = work.info.id;",
    replace: 'ids.request = "another";',
    feature: WHOLE_PATH_FEATURE,
    scenario: "Explain returns the logged decision",
  },
  {
    invariant: "not-run-proven",
    file: "packages/entry/dist/router.js",
    find: "failure.outcome === Outcome.notRun",
    replace: "true",
    feature: FAILURES_FEATURE,
    scenario: "A lost answer is never reported as not run",
  },
  {
    invariant: "at-most-once",
    file: "packages/entry/dist/pool_task.js",
    find: "if (!work.info.idempotent)\n                    return false;",
    replace: "",
    feature: FAILURES_FEATURE,
    scenario: "A truncated answer is never delivered as complete",
  },
  {
    invariant: "no-work-to-leaving",
    file: "packages/admit/dist/target_slots.js",
    find: "this.status.draining || this.status.down",
    replace: "this.status.down",
    feature: FAILURES_FEATURE,
    scenario: "A target that signals draining gets no new requests",
  },
  {
    invariant: "graceful-stop",
    file: "packages/entry/dist/start_entry.js",
    find: "await finishWork();",
    replace: "",
    feature: FAILURES_FEATURE,
    scenario: "A graceful stop completes running requests",
  },
  {
    invariant: "revision-forward",
    file: "packages/agree/dist/applied_config.js",
    find:
      "if (revision.head.revision <= this.revision)\n            return false;",
    replace: "",
    feature: FAILURES_FEATURE,
    scenario: "An older revision that arrives late is ignored",
  },
];

/** Runs the mutation's scenario in the copy and returns its output. */
async function runScenario(
  folder: string,
  mutation: Mutation,
): Promise<string> {
  await mkdir(path.join(folder, ".run"));
  const child = spawn("node_modules/.bin/cucumber-js", [
    "--name",
    `^${mutation.scenario}$`,
  ], {
    cwd: folder,
    env: {
      ...process.env,
      NODE_OPTIONS: "--import tsx",
      FEATURES: mutation.feature,
    },
  });
  let output = "";
  child.stdout.on("data", (chunk) => output += chunk);
  child.stderr.on("data", (chunk) => output += chunk);
  await once(child, "exit");
  return output;
}

const COPIED_PATHS = [
  "packages",
  "standins",
  "package.json",
  "cucumber.mjs",
  "tsconfig.base.json",
];

/**
 * Copies the workspace. Its own packages are copied, so that a mutation does
 * not reach the originals; installed libraries are linked.
 */
async function copyProduct(folder: string): Promise<void> {
  for (const name of COPIED_PATHS) {
    await cp(name, path.join(folder, name), {
      recursive: true,
      verbatimSymlinks: true,
    });
  }
  const ownScope = "@bamboolane";
  await cp(
    `node_modules/${ownScope}`,
    path.join(folder, "node_modules", ownScope),
    {
      recursive: true,
      verbatimSymlinks: true,
    },
  );
  for (const name of await readdir("node_modules")) {
    if (name === ownScope) continue;
    await symlink(
      path.resolve("node_modules", name),
      path.join(folder, "node_modules", name),
    );
  }
}

/** Applies a mutation to a copy and returns the result of its scenario. */
async function testMutation(mutation: Mutation): Promise<string> {
  const folder = await mkdtemp(path.join(tmpdir(), "bamboolane-break-"));
  try {
    await copyProduct(folder);
    const file = path.join(folder, mutation.file);
    const text = await readFile(file, "utf8");
    if (!text.includes(mutation.find)) return "code to replace not found";
    await writeFile(file, text.replace(mutation.find, mutation.replace));
    const output = await runScenario(folder, mutation);
    if (output.includes(`: ${mutation.invariant}`)) return "noticed";
    return output.includes("0 scenarios") ? "no such scenario" : "NOT NOTICED";
  } finally {
    await rm(folder, { recursive: true, force: true });
  }
}

const requested = process.argv.slice(2);
const rows = [["INVARIANT", "RESULT"]];
let noticed = 0;
const selected = MUTATIONS.filter((m) =>
  requested.length === 0 || requested.includes(m.invariant)
);
for (const mutation of selected) {
  const result = await testMutation(mutation);
  if (result === "noticed") noticed++;
  rows.push([mutation.invariant, result]);
}
process.stdout.write(formatRows(rows) + "\n");
process.stdout.write(`breaks: ${noticed} of ${selected.length} noticed\n`);
process.exit(noticed === selected.length ? 0 : 1);
