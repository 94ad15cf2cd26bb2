/**
 * `npm run breaks [-- NAME ...]` is a mutation test. Each mutation, or each of
 * those given, is applied to a copy of the built product. The named scenario must
 * then report a breach of the invariant, or fail where the bound has no check in
 * the product. A scenario that doesn't run is an error.
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

/** What shows that a mutation was noticed. */
type Detection = "breach" | "failure";

/** A change to the built code and the scenario that must detect it. */
interface Mutation {
  /** The invariant, or a bound that only tests check. */
  name: string;
  detection: Detection;
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
    name: "move-cap",
    detection: "breach",
    file: "packages/entry/dist/move_share_limiter.js",
    find: "count.moved + 1 <= capShare * count.total",
    replace: "true",
    feature: FAILURES_FEATURE,
    scenario:
      "A move redirects its share of the requests and never exceeds its cap",
  },
  {
    name: "region-cap",
    detection: "breach",
    file: "packages/admit/dist/slot_pool.js",
    find: "this.#paused || this.#holders.size >= this.#limits.capInFlight",
    replace: "this.#paused",
    feature: FAILURES_FEATURE,
    scenario:
      "A data centre's cap on requests in flight holds under three times its load",
  },
  {
    name: "answer-matches",
    detection: "breach",
    file: "packages/entry/dist/caller_server.js",
    find: "ids.request = work.info.id;",
    replace: 'ids.request = "another";',
    feature: WHOLE_PATH_FEATURE,
    scenario: "Explain returns the logged decision",
  },
  {
    name: "not-run-proven",
    detection: "breach",
    file: "packages/entry/dist/router.js",
    find: "failure.outcome === Outcome.notRun",
    replace: "true",
    feature: FAILURES_FEATURE,
    scenario: "A lost answer is never reported as not run",
  },
  {
    name: "at-most-once",
    detection: "breach",
    file: "packages/entry/dist/pool_task.js",
    find: "if (!work.info.idempotent)\n                    return false;",
    replace: "",
    feature: FAILURES_FEATURE,
    scenario: "A charge whose answer was cut is not run again",
  },
  {
    name: "no-work-to-leaving",
    detection: "breach",
    file: "packages/admit/dist/target_slots.js",
    find: "this.status.draining || this.status.down",
    replace: "this.status.down",
    feature: FAILURES_FEATURE,
    scenario: "A target that signals draining gets no new requests",
  },
  {
    name: "graceful-stop",
    detection: "breach",
    file: "packages/entry/dist/start_entry.js",
    find: "await finishWork();",
    replace: "",
    feature: FAILURES_FEATURE,
    scenario: "A graceful stop completes running requests",
  },
  {
    name: "revision-forward",
    detection: "breach",
    file: "packages/agree/dist/applied_config.js",
    find:
      "if (revision.head.revision <= this.revision)\n            return false;",
    replace: "",
    feature: FAILURES_FEATURE,
    scenario: "An older revision that arrives late is ignored",
  },
  {
    name: "request-limit",
    detection: "failure",
    file: "packages/steering/dist/allocate_rate.js",
    find: "perSecond: terms.perSecond / senders",
    replace: "perSecond: terms.perSecond",
    feature: "packages/gateway/features/limits.feature",
    scenario:
      "A target that names a limit doesn't get more than that from all entries together",
  },
  {
    name: "warm-up-rate",
    detection: "failure",
    file: "packages/gateway/dist/gateway_state.js",
    find: "|| !this.members.isComplete",
    replace: "",
    feature: "packages/gateway/features/gateway.feature",
    scenario:
      "An entry that doesn't know the others yet sends nothing to a cold target",
  },
  {
    name: "retry-budget",
    detection: "failure",
    file: "packages/steering/dist/retry_budget.js",
    find: "allowance / Math.max(1, options.entries)",
    replace: "allowance",
    feature: "packages/steering/features/steering.feature",
    scenario:
      "Retries stay within the fleet's budget during a retry storm at all entries",
  },
  {
    name: "state-version",
    detection: "failure",
    file: "packages/steering/dist/state_version.js",
    find: "era * VERSIONS_PER_ERA + version",
    replace: "version",
    feature: "packages/steering/features/restore.feature",
    scenario: "Versions of a later era are higher, however small they are",
  },
  {
    name: "forward-once",
    detection: "failure",
    file: "packages/gateway/dist/peer_forwarder.js",
    find: "request.isForwarded ||",
    replace: "",
    feature: "packages/gateway/features/cut_links.feature",
    scenario: "A request that another entry forwarded is not forwarded again",
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
  "platform",
  "standins",
  "tools",
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

function isNoticed(output: string, mutation: Mutation): boolean {
  switch (mutation.detection) {
    case "breach":
      return output.includes(`: ${mutation.name}`);
    case "failure":
      return output.includes("1 scenario (1 failed)");
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
    if (!/^1 scenario \(1 (passed|failed)\)$/m.test(output)) {
      return "THE SCENARIO DID NOT RUN";
    }
    return isNoticed(output, mutation) ? "noticed" : "NOT NOTICED";
  } finally {
    await rm(folder, { recursive: true, force: true });
  }
}

const requested = process.argv.slice(2);
const rows = [["MUTATION", "RESULT"]];
let noticed = 0;
const selected = MUTATIONS.filter((m) =>
  requested.length === 0 || requested.includes(m.name)
);
for (const mutation of selected) {
  const result = await testMutation(mutation);
  if (result === "noticed") noticed++;
  rows.push([mutation.name, result]);
}
process.stdout.write(formatRows(rows) + "\n");
process.stdout.write(`breaks: ${noticed} of ${selected.length} noticed\n`);
process.exit(noticed === selected.length ? 0 : 1);
