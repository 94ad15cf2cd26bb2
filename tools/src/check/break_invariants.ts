/**
 * `npm run breaks`: shows that each assertion can fail. For each, a copy of
 * the built product gets one small fault, and the named scenario must then
 * report a breach of that invariant.
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

/** A small fault and the scenario that must notice it. */
interface Break {
  invariant: string;
  file: string;
  find: string;
  replace: string;
  feature: string;
  scenario: string;
}

const failures = "packages/entry/features/failures.feature";
const wholePath = "packages/entry/features/whole_path.feature";

const breaks: Break[] = [
  {
    invariant: "move-cap",
    file: "packages/entry/dist/move_share_limiter.js",
    find: "count.moved + 1 <= capShare * count.total",
    replace: "true",
    feature: failures,
    scenario:
      "A move redirects its share of the requests and never exceeds its cap",
  },
  {
    invariant: "region-cap",
    file: "packages/admit/dist/slot_pool.js",
    find: "this.#paused || this.#holders.size >= this.#limits.capInFlight",
    replace: "this.#paused",
    feature: failures,
    scenario:
      "A data centre's cap on requests in flight holds under three times its load",
  },
  {
    invariant: "answer-matches",
    file: "packages/entry/dist/caller_server.js",
    find: "ids.request = work.info.id;",
    replace: 'ids.request = "another";',
    feature: wholePath,
    scenario: "Explain returns the logged decision",
  },
  {
    invariant: "not-run-proven",
    file: "packages/entry/dist/router.js",
    find: "failure.outcome === Outcome.notRun",
    replace: "true",
    feature: failures,
    scenario: "A lost answer is never reported as not run",
  },
  {
    invariant: "at-most-once",
    file: "packages/entry/dist/pool_task.js",
    find: "if (!work.info.idempotent)\n                    return false;",
    replace: "",
    feature: failures,
    scenario: "A truncated answer is never delivered as complete",
  },
  {
    invariant: "no-work-to-leaving",
    file: "packages/admit/dist/target_slots.js",
    find: "this.status.draining || this.status.down",
    replace: "this.status.down",
    feature: failures,
    scenario: "A target that signals draining gets no new requests",
  },
  {
    invariant: "graceful-stop",
    file: "packages/entry/dist/start_entry.js",
    find: "await finishWork();",
    replace: "",
    feature: failures,
    scenario: "A graceful stop completes running requests",
  },
  {
    invariant: "revision-forward",
    file: "packages/agree/dist/applied_config.js",
    find:
      "if (revision.head.revision <= this.revision)\n            return false;",
    replace: "",
    feature: failures,
    scenario: "An older revision that arrives late is ignored",
  },
];
async function run(folder: string, item: Break): Promise<string> {
  await mkdir(path.join(folder, ".run"));
  const child = spawn("node_modules/.bin/cucumber-js", [
    "--name",
    `^${item.scenario}$`,
  ], {
    cwd: folder,
    env: {
      ...process.env,
      NODE_OPTIONS: "--import tsx",
      FEATURES: item.feature,
    },
  });
  let output = "";
  child.stdout.on("data", (chunk) => output += chunk);
  child.stderr.on("data", (chunk) => output += chunk);
  await once(child, "exit");
  return output;
}

const copied = [
  "packages",
  "standins",
  "package.json",
  "cucumber.mjs",
  "tsconfig.base.json",
];

/** Copies the workspace; installed libraries are linked, its own packages are not. */
async function copyProduct(folder: string): Promise<void> {
  for (const name of copied) {
    await cp(name, path.join(folder, name), {
      recursive: true,
      verbatimSymlinks: true,
    });
  }
  const own = "@bamboolane";
  await cp(`node_modules/${own}`, path.join(folder, "node_modules", own), {
    recursive: true,
    verbatimSymlinks: true,
  });
  for (const name of await readdir("node_modules")) {
    if (name === own) continue;
    await symlink(
      path.resolve("node_modules", name),
      path.join(folder, "node_modules", name),
    );
  }
}

/** True where the broken product reports the breach. */
async function notices(item: Break): Promise<string> {
  const folder = await mkdtemp(path.join(tmpdir(), "bamboolane-break-"));
  try {
    await copyProduct(folder);
    const file = path.join(folder, item.file);
    const text = await readFile(file, "utf8");
    if (!text.includes(item.find)) return "the line to break was not found";
    await writeFile(file, text.replace(item.find, item.replace));
    const output = await run(folder, item);
    if (output.includes(`: ${item.invariant}`)) return "noticed";
    return output.includes("0 scenarios") ? "no such scenario" : "NOT NOTICED";
  } finally {
    await rm(folder, { recursive: true, force: true });
  }
}

const wanted = process.argv.slice(2);
const rows = [["INVARIANT", "RESULT"]];
let noticed = 0;
const chosen = breaks.filter((b) =>
  wanted.length === 0 || wanted.includes(b.invariant)
);
for (const item of chosen) {
  const result = await notices(item);
  if (result === "noticed") noticed++;
  rows.push([item.invariant, result]);
}
process.stdout.write(formatRows(rows) + "\n");
process.stdout.write(`breaks: ${noticed} of ${chosen.length} noticed\n`);
process.exit(noticed === chosen.length ? 0 : 1);
